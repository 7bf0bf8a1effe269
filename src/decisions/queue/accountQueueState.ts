import type { AccountId } from '../../common/ids/index.js';
import { Fifo } from './fifo.js';
import { type QueuedItem, QueuedState } from './queuedItem.js';

/** What the queue counts for one account. */
export class AccountQueueState {
  /** Requests that wait, held back or not. */
  waiting = 0;
  /** Transactions that were started and are not complete. */
  openTransactions = 0;
  private readonly heldBack = new Fifo<QueuedItem>();

  /** Whether a transaction may be opened under the given bound. */
  canOpen(maximum: number | undefined): boolean {
    return this.openTransactions < (maximum ?? Number.POSITIVE_INFINITY);
  }

  /** Keeps a transaction back until another one of the account ends. */
  holdBack(item: QueuedItem): void {
    item.state = QueuedState.HeldBack;
    const first = this.peek();
    if (first !== undefined && item.order < first.order) {
      this.heldBack.unshift(item);
    } else {
      this.heldBack.push(item);
    }
  }

  /** Takes out the first transaction that is held back, if it may be opened now. */
  release(): QueuedItem | undefined {
    const first = this.peek();
    if (first === undefined || !this.canOpen(first.item.maximumOpenTransactions)) {
      return undefined;
    }
    return this.heldBack.shift();
  }

  private peek(): QueuedItem | undefined {
    for (let first = this.heldBack.peek(); first !== undefined; first = this.heldBack.peek()) {
      if (first.state === QueuedState.HeldBack) {
        return first;
      }
      this.heldBack.shift();
    }
    return undefined;
  }
}

/** The records of all accounts that were seen. */
export class AccountQueueStates {
  private readonly records = new Map<AccountId, AccountQueueState>();

  /** The record of an account; created when there is none. */
  get(account: AccountId): AccountQueueState {
    let record = this.records.get(account);
    if (record === undefined) {
      record = new AccountQueueState();
      this.records.set(account, record);
    }
    return record;
  }
}
