import type { AccountId } from '../../common/ids/index.js';
import { Fifo } from './fifo.js';
import { type QueuedItem, QueuedState } from './queuedItem.js';

/** What the queue counts for one account. */
export class AccountRecord {
  /** Requests that wait, held back or not. */
  waiting = 0;
  /** Transactions that were started and are not complete. */
  openTransactions = 0;
  private readonly heldBack = new Fifo<QueuedItem>();

  /** Keeps a transaction back until another one of the account ends. */
  holdBack(item: QueuedItem): void {
    item.state = QueuedState.HeldBack;
    this.heldBack.push(item);
  }

  /** Takes out the first transaction that is still held back. */
  release(): QueuedItem | undefined {
    for (let item = this.heldBack.shift(); item !== undefined; item = this.heldBack.shift()) {
      if (item.state === QueuedState.HeldBack) {
        return item;
      }
    }
    return undefined;
  }
}

/** The records of all accounts that were seen. */
export class AccountRecords {
  private readonly records = new Map<AccountId, AccountRecord>();

  /** The record of an account; created when there is none. */
  get(account: AccountId): AccountRecord {
    let record = this.records.get(account);
    if (record === undefined) {
      record = new AccountRecord();
      this.records.set(account, record);
    }
    return record;
  }
}
