/**
 * Time within which a control host has to answer: several round trips within a region, and less
 * than half a lease, so that two hosts can be tried.
 */
const ANSWER_TIMEOUT_MS = 250;
/**
 * Time for which a host without a known leader is kept: longer than an election. It names the leader
 * as soon as it knows one, while a link to each further host costs all of them processor time, which
 * delays the election itself.
 */
const LEADERLESS_TIMEOUT_MS = 500;
/** Time without an answer after which the first host is given up in a search for the leader. */
const SEARCH_TIMEOUT_MS = 100;
/** Number of hosts after which the time in a search does not grow any more. */
const SEARCH_STEPS = 3;

/** Chooses the control host to send to: the leader if known, else each host in turn. */
export class ControlRoute {
  private leader: string | undefined;
  private waitingSinceMs: number | undefined;
  /** Whether the chosen host answered that it knows no leader. */
  private isLeaderless = false;
  /** Number of hosts given up since the last one that knew the leader. */
  private failures = 0;

  /** `index`: the host to begin with, so that not all daemons ask the same one. */
  constructor(
    private readonly getAddresses: () => readonly string[],
    private index = 0,
  ) {}

  /** Returns the address for the next message: another one if the last gave no answer in time. */
  choose(nowMs: number): string {
    return this.chooseWithin(nowMs, ANSWER_TIMEOUT_MS);
  }

  /**
   * Returns the address for the next message of a daemon that has to find the leader. Hosts that are
   * slow to answer, such as just after a start, are given more time one after another.
   */
  search(nowMs: number): string {
    return this.chooseWithin(nowMs, SEARCH_TIMEOUT_MS * 2 ** Math.min(this.failures, SEARCH_STEPS));
  }

  /** Records that a control host answered as leader. */
  answered(address: string): void {
    this.setLeader(address);
  }

  /** Records the leader that a control host named; returns false if it knows none. */
  redirected(leader: string | undefined): boolean {
    if (leader !== undefined) {
      this.setLeader(leader);
      return true;
    }
    if (this.leader !== undefined) {
      this.leader = undefined;
      this.waitingSinceMs = undefined;
    }
    this.isLeaderless = true;
    return false;
  }

  /** Records that the chosen control host gave no answer, so that the next one is chosen. */
  failed(): void {
    this.waitingSinceMs = undefined;
    this.leader = undefined;
    this.isLeaderless = false;
    this.failures += 1;
    this.index += 1;
  }

  private chooseWithin(nowMs: number, timeoutMs: number): string {
    const limitMs = this.isLeaderless ? LEADERLESS_TIMEOUT_MS : timeoutMs;
    if (this.waitingSinceMs !== undefined && nowMs - this.waitingSinceMs > limitMs) {
      this.failed();
    }
    this.waitingSinceMs ??= nowMs;
    const addresses = this.getAddresses();
    return this.leader ?? addresses[this.index % addresses.length] ?? '';
  }

  private setLeader(address: string): void {
    this.waitingSinceMs = undefined;
    this.leader = address;
    this.isLeaderless = false;
    this.failures = 0;
  }
}
