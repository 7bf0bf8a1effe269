import type { AccountId } from '../../common/ids/index.js';
import { type QueuedItem, QueuedState } from './queuedItem.js';
import { RankedFifo } from './rankedFifo.js';

/** Counters and held-back transactions of one account in the queue. */
export class AccountQueueState {
  /** Number of waiting requests, held back or not. */
  waiting = 0;
  /** Number of transactions that were started and are not complete. */
  openTransactions = 0;
  private readonly heldBack = new RankedFifo<QueuedItem>(
    ({ rank }) => rank,
    ({ state }) => state === QueuedState.HeldBack,
  );

  /** Whether a transaction may be opened under the given maximum; undefined means no maximum. */
  canOpen(maximum: number | undefined): boolean {
    return this.openTransactions < (maximum ?? Number.POSITIVE_INFINITY);
  }

  /** Holds a transaction back until another one of the account ends. */
  holdBack(item: QueuedItem): void {
    item.state = QueuedState.HeldBack;
    const first = this.heldBack.peekRank(item.rank);
    if (first !== undefined && item.order < first.order) {
      this.heldBack.unshift(item);
    } else {
      this.heldBack.push(item);
    }
  }

  /** Removes and returns the first held-back transaction, if it may be opened now. */
  release(): QueuedItem | undefined {
    const first = this.heldBack.peek();
    if (first === undefined || !this.canOpen(first.item.maximumOpenTransactions)) {
      return undefined;
    }
    return this.heldBack.shift();
  }
}

/** Queue states of all accounts that have had requests. */
export class AccountQueueStates {
  private readonly states = new Map<AccountId, AccountQueueState>();

  /** Returns the state of an account; creates it if absent. */
  get(account: AccountId): AccountQueueState {
    let state = this.states.get(account);
    if (state === undefined) {
      state = new AccountQueueState();
      this.states.set(account, state);
    }
    return state;
  }
}
