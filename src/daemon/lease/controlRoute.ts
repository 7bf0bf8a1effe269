/** Several round trips within a region; shorter than half a lease, so that two hosts can be tried. */
const ANSWER_TIMEOUT_MS = 250;

/** Chooses the control host to speak to: the leader once known, else one after another. */
export class ControlRoute {
  private index = 0;
  private leader: string | undefined;
  private waitingSinceMs: number | undefined;

  constructor(private readonly getAddresses: () => readonly string[]) {}

  /** The address for the next message; another one when the last gave no answer in time. */
  choose(nowMs: number, timeoutMs = ANSWER_TIMEOUT_MS): string {
    if (this.waitingSinceMs !== undefined && nowMs - this.waitingSinceMs > timeoutMs) {
      this.failed();
    }
    this.waitingSinceMs ??= nowMs;
    const addresses = this.getAddresses();
    return this.leader ?? addresses[this.index % addresses.length] ?? '';
  }

  /** A control host answered as leader. */
  answered(address: string): void {
    this.waitingSinceMs = undefined;
    this.leader = address;
  }

  /** A control host named the leader that it knows; false when it knows none. */
  redirected(leader: string | undefined): boolean {
    if (leader === undefined) {
      this.failed();
      return false;
    }
    this.waitingSinceMs = undefined;
    this.leader = leader;
    return true;
  }

  /** The chosen control host gave no answer. */
  failed(): void {
    this.waitingSinceMs = undefined;
    this.leader = undefined;
    this.index += 1;
  }
}
