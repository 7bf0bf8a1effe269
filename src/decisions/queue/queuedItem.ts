import type { QueueItem } from './queueItem.js';

/** Where a queued request stands. */
export enum QueuedState {
  /** Waits for a slot. */
  Waiting = 'waiting',
  /** Waits outside the policy's order, until the account has fewer open transactions. */
  HeldBack = 'held-back',
  /** Has a slot. */
  Running = 'running',
  /** An open transaction without a statement: has no slot. */
  Paused = 'paused',
  /** Ended, refused or taken out. */
  Done = 'done',
}

/** A request in the queue, with what the queue keeps about it. */
export interface QueuedItem {
  readonly item: QueueItem;
  /** Order of arrival. */
  readonly order: number;
  state: QueuedState;
  queuedMs: number;
  /** Last moment at which a start still leaves time to end. */
  latestStartMs: number;
  /** Estimated service time in milliseconds. */
  estimateMs: number;
  startedMs: number;
  /** When the transaction was opened; undefined before. */
  openedMs: number | undefined;
}

/** Whether the request waits for a slot, held back or not. */
export function isWaiting(queued: QueuedItem): boolean {
  return queued.state === QueuedState.Waiting || queued.state === QueuedState.HeldBack;
}

/** Whether the request would open a transaction when it starts. */
export function opensTransaction(queued: QueuedItem): boolean {
  return queued.item.isTransaction && queued.openedMs === undefined;
}

/** Creates what the queue keeps about a request that arrives now. */
export function createQueuedItem(
  item: QueueItem,
  order: number,
  estimateMs: number,
  latestStartMs: number,
  nowMs: number,
): QueuedItem {
  return {
    item,
    order,
    state: QueuedState.Waiting,
    queuedMs: nowMs,
    latestStartMs,
    estimateMs,
    startedMs: nowMs,
    openedMs: undefined,
  };
}
