import type { GroupId } from '../../common/ids/index.js';
import type { RequestDraft } from './dispatcher.js';
import type { ResponseReceiver, RunningRequest } from '../requests/index.js';

/** Admits and runs callers' requests. */
export abstract class CallerRequests {
  /**
   * Admits a request under the rate limit of its client account and runs it. `statements` is the
   * number of statements that count towards the rate, 0 for a request that was admitted with
   * its transaction. `deadlineMs` is the time by which the request must have ended.
   */
  abstract run(
    draft: RequestDraft,
    statements: number,
    deadlineMs: number,
    receiver: ResponseReceiver,
  ): RunningRequest;
  /** Rolls back a transaction whose caller disconnected. */
  abstract abortTransaction(group: GroupId, transaction: string): void;
}
