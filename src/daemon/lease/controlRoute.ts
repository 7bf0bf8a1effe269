/**
 * Time within which a control host has to answer: several round trips within a region, and less
 * than half a lease, so that two hosts can be tried.
 */
const ANSWER_TIMEOUT_MS = 250;

/** Chooses the control host to send to: the leader if known, else each host in turn. */
export class ControlRoute {
  private index = 0;
  private leader: string | undefined;
  private waitingSinceMs: number | undefined;

  constructor(private readonly getAddresses: () => readonly string[]) {}

  /** Returns the address for the next message: another one if the last gave no answer in time. */
  choose(nowMs: number, timeoutMs = ANSWER_TIMEOUT_MS): string {
    if (this.waitingSinceMs !== undefined && nowMs - this.waitingSinceMs > timeoutMs) {
      this.failed();
    }
    this.waitingSinceMs ??= nowMs;
    const addresses = this.getAddresses();
    return this.leader ?? addresses[this.index % addresses.length] ?? '';
  }

  /** Records that a control host answered as leader. */
  answered(address: string): void {
    this.waitingSinceMs = undefined;
    this.leader = address;
  }

  /** Records the leader that a control host named; returns false if it knows none. */
  redirected(leader: string | undefined): boolean {
    if (leader === undefined) {
      this.failed();
      return false;
    }
    this.waitingSinceMs = undefined;
    this.leader = leader;
    return true;
  }

  /** Records that the chosen control host gave no answer, so that the next one is chosen. */
  failed(): void {
    this.waitingSinceMs = undefined;
    this.leader = undefined;
    this.index += 1;
  }
}
