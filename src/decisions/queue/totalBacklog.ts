import type { QueuedItem } from './queuedItem.js';
import { QueuePolicy } from './queuePolicy.js';

/** A policy that does not distinguish accounts and tracks only the total backlog. */
export abstract class TotalBacklog extends QueuePolicy {
  private backlogMs = 0;

  override charge(): void {
    // Accounts are not charged.
  }

  override getWaitMs(_account: unknown, _weight: number, slots: number): number {
    return this.backlogMs / Math.max(1, slots);
  }

  override getExpectedWaitMs(_rank: number, slots: number): number {
    return this.getWaitMs(undefined, 1, slots);
  }

  override getDisplaced(): Iterable<QueuedItem> {
    return [];
  }

  override handleRemoval(item: QueuedItem): void {
    this.backlogMs = Math.max(0, this.backlogMs - item.estimateMs);
  }

  protected addToBacklog(item: QueuedItem): void {
    this.backlogMs += item.estimateMs;
  }
}
