import {
  Diagnostics,
  type Diagnostic,
  type DiagnosticArguments,
} from '../../common/diagnostics/index.js';
import type { AccountId, RequestId } from '../../common/ids/index.js';
import type { QueueItem } from './queueItem.js';

const MINIMUM_RETRY_MS = 1;

/** Kind of an output of an instance queue. */
export enum QueueOutputKind {
  Start = 'start',
  Refuse = 'refuse',
  AbortTransaction = 'abort-transaction',
}

/** The request was given a slot: the caller runs it now. */
export interface RequestStart {
  readonly kind: QueueOutputKind.Start;
  readonly requestId: RequestId;
  readonly account: AccountId;
  readonly waitedMs: number;
}

/** The request was not run and is refused. */
export interface QueueRefusal {
  readonly kind: QueueOutputKind.Refuse;
  readonly requestId: RequestId;
  readonly account: AccountId;
  readonly diagnostic: Diagnostic;
  readonly values: DiagnosticArguments;
  readonly retryAfterMs: number;
}

/**
 * The transaction exceeded its time limit: the caller rolls it back, closes its connection and then
 * calls `complete`.
 */
export interface TransactionAbort {
  readonly kind: QueueOutputKind.AbortTransaction;
  readonly requestId: RequestId;
  readonly account: AccountId;
  readonly diagnostic: Diagnostic;
  readonly values: DiagnosticArguments;
}

/** Action that an instance queue requests from its caller. */
export type QueueOutput = RequestStart | QueueRefusal | TransactionAbort;

/** Creates the refusal of a request that was not run. */
export function createRefusal(
  item: QueueItem,
  diagnostic: Diagnostic,
  limit: number,
  retryAfterMs: number,
): QueueRefusal {
  const { requestId, account } = item;
  return {
    kind: QueueOutputKind.Refuse,
    requestId,
    account,
    diagnostic,
    values: { account, limit },
    retryAfterMs: Math.ceil(Math.max(MINIMUM_RETRY_MS, retryAfterMs)),
  };
}

/** Creates the abort of a transaction that exceeded its time limit. */
export function createAbort(item: QueueItem, limitMs: number): TransactionAbort {
  const { requestId, account } = item;
  return {
    kind: QueueOutputKind.AbortTransaction,
    requestId,
    account,
    diagnostic: Diagnostics.TransactionTimeLimit,
    values: { account, limit: limitMs },
  };
}
