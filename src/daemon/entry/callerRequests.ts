import type { GroupId } from '../../common/ids/index.js';
import type { RequestDraft } from './dispatcher.js';
import type { ResponseReceiver, RunningRequest } from '../requests/index.js';

/** Runs the requests of callers. */
export abstract class CallerRequests {
  /**
   * Admits a request under its client account's rate and runs it. `statements` is the number of
   * statements in it that count, 0 when it was paid for with the transaction that it is in, `deadlineMs` the time by which it must have ended.
   */
  abstract run(
    draft: RequestDraft,
    statements: number,
    deadlineMs: number,
    receiver: ResponseReceiver,
  ): RunningRequest;
  /** Rolls back a transaction whose caller is gone. */
  abstract abortTransaction(group: GroupId, transaction: string): void;
}
