/** Time for which a resource that was moved for its load is not moved again. */
export const REST_MS = 60_000;

/** Resources that were moved for their load a short time ago. */
export class RecentMoves {
  /** Times of the moves by resource, the oldest first. */
  private readonly movedMs = new Map<string, number>();

  /** Records that a resource is moved now. */
  record(key: string, nowMs: number): void {
    this.movedMs.delete(key);
    this.movedMs.set(key, nowMs);
    for (const [other, atMs] of this.movedMs) {
      if (nowMs - atMs < REST_MS) {
        break;
      }
      this.movedMs.delete(other);
    }
  }

  /** Whether a resource was moved less than 60 s ago. */
  has(key: string, nowMs: number): boolean {
    const atMs = this.movedMs.get(key);
    return atMs !== undefined && nowMs - atMs < REST_MS;
  }
}
