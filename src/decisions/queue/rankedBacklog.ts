import type { AccountId } from '../../common/ids/index.js';
import { AccountBacklog } from './accountBacklog.js';
import type { QueuedItem } from './queuedItem.js';
import type { RankedAccount } from './rankedAccount.js';

/** Waiting requests of one account that have the same rank of priority. */
export class RankedBacklog extends AccountBacklog {
  /** Virtual time by which the order of the rank contains the account. */
  startTag = 0;
  isActive = false;
  /** Cost of more urgent requests of the account that started while these waited. */
  passedMs = 0;
  /** Offset of the next request that is added. */
  private endMs = 0;

  constructor(
    account: AccountId,
    readonly owner: RankedAccount,
    readonly rank: number,
  ) {
    super(account);
  }

  override add(item: QueuedItem): void {
    item.offsetMs = this.endMs;
    this.endMs += item.estimateMs;
    super.add(item);
    this.owner.recordBacklog(this.rank, item.estimateMs);
  }

  override addFirst(item: QueuedItem): void {
    item.offsetMs = (this.peek()?.offsetMs ?? this.endMs) - item.estimateMs;
    super.addFirst(item);
    this.owner.recordBacklog(this.rank, item.estimateMs);
  }

  override handleRemoval(item: QueuedItem): void {
    super.handleRemoval(item);
    this.owner.recordBacklog(this.rank, -item.estimateMs);
  }

  /** Returns the cost of the requests before a waiting one, in milliseconds. */
  getBeforeMs(item: QueuedItem): number {
    return item.offsetMs - (this.peek()?.offsetMs ?? item.offsetMs);
  }
}
