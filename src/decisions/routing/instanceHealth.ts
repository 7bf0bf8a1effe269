/** Number of consecutive failed connections after which an instance counts as unreachable. */
export const FAILURES_UNTIL_UNREACHABLE = 2;

/**
 * Tracks the reachability of one instance by probes and new connections. An unanswered probe shows
 * only that its own connection is broken; the instance is unreachable once new connections fail
 * too.
 */
export class InstanceHealth {
  private failures = 0;
  private hasAnsweredProbe = false;
  private reachableSinceMs = 0;

  /** Whether a probe was answered and too few new connections have failed since. */
  get isReachable(): boolean {
    return this.hasAnsweredProbe && this.failures < FAILURES_UNTIL_UNREACHABLE;
  }

  /** Whether enough consecutive new connections have failed. */
  get isUnreachable(): boolean {
    return this.failures >= FAILURES_UNTIL_UNREACHABLE;
  }

  /** Records that a probe was answered over any connection. */
  recordProbeAnswer(nowMs: number): void {
    if (!this.isReachable) {
      this.reachableSinceMs = nowMs;
    }
    this.hasAnsweredProbe = true;
    this.failures = 0;
  }

  /** Records that an instance, which is thus alive, refused a connection for lack of capacity. */
  recordRefusedConnection(): void {
    this.failures = 0;
  }

  /** Records that a new connection could not be opened. */
  recordFailedConnection(): void {
    this.failures += 1;
  }

  /** Returns a weight that rises from 0 to 1 over `rampMs` after the instance became reachable. */
  getSlowStartWeight(nowMs: number, rampMs: number): number {
    return Math.min(1, Math.max(0, (nowMs - this.reachableSinceMs) / rampMs));
  }
}
