import { getPriorityRank } from '../../common/priority.js';
import type { QueueItem } from './queueItem.js';

/** State of a queued request. */
export enum QueuedState {
  /** Waits for a slot. */
  Waiting = 'waiting',
  /** Waits outside the policy's order until the account has fewer open transactions. */
  HeldBack = 'held-back',
  /** Has a slot. */
  Running = 'running',
  /** Is an open transaction without a running statement, and has no slot. */
  Paused = 'paused',
  /** Has ended, was refused or was removed. */
  Done = 'done',
}

/** A request in the queue with its scheduling state. */
export interface QueuedItem {
  readonly item: QueueItem;
  /** Order of arrival. */
  readonly order: number;
  state: QueuedState;
  queuedMs: number;
  /** Latest time at which a start still leaves time to finish. */
  latestStartMs: number;
  /** Estimated service time in milliseconds. */
  estimateMs: number;
  startedMs: number;
  /** Time at which the transaction was opened; undefined before. */
  openedMs: number | undefined;
  /** Rank under which the request waits, from 0, the most urgent. */
  rank: number;
  /** Position among the account's requests of the rank, by the cost of those before. */
  offsetMs: number;
  /** Time by which the start may be delayed, at least, as of the arrival. */
  marginMs: number;
}

/** Whether the request waits for a slot, held back or not. */
export function isWaiting(queued: QueuedItem): boolean {
  return queued.state === QueuedState.Waiting || queued.state === QueuedState.HeldBack;
}

/** Whether the request would open a transaction when it starts. */
export function opensTransaction(queued: QueuedItem): boolean {
  return queued.item.isTransaction && queued.openedMs === undefined;
}

/** Creates the scheduling state of a request that arrives now. */
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
    rank: getPriorityRank(item.priority),
    offsetMs: 0,
    marginMs: latestStartMs - nowMs,
  };
}
