/** Failed new connections in a row after which an instance counts as unreachable. */
export const FAILURES_UNTIL_UNREACHABLE = 2;

/**
 * Judges one instance from probes and new connections. A probe without an answer condemns only its
 * own connection; the instance is unreachable when new connections fail too.
 */
export class InstanceHealth {
  private failures = 0;
  private known = false;
  private reachableSinceMs = 0;

  /** New connections succeed, or have not yet failed often enough. */
  get isReachable(): boolean {
    return this.known && this.failures < FAILURES_UNTIL_UNREACHABLE;
  }

  /** Enough new connections failed in a row. */
  get isUnreachable(): boolean {
    return this.failures >= FAILURES_UNTIL_UNREACHABLE;
  }

  /** A probe was answered over some connection. */
  probeAnswered(nowMs: number): void {
    if (!this.isReachable) {
      this.reachableSinceMs = nowMs;
    }
    this.known = true;
    this.failures = 0;
  }

  /** A new connection was refused for want of room: the instance lives. */
  connectRefused(): void {
    this.failures = 0;
  }

  /** A new connection could not be opened. */
  connectFailed(): void {
    this.failures += 1;
  }

  /** From 0 to 1 over the given time after the instance became reachable. */
  getWarmth(nowMs: number, rampMs: number): number {
    return Math.min(1, Math.max(0, (nowMs - this.reachableSinceMs) / rampMs));
  }
}
