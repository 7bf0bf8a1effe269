import type { LoadReport } from '../../decisions/overload/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import type { RequestFault } from './requestFault.js';
import type { TransactionStatus } from './transactionStatus.js';

/** The result of a request at its holder or reader. */
export interface RequestOutcome {
  readonly status: TransactionStatus;
  /** The reason why the backend server's answer is missing or incomplete. */
  readonly fault?: RequestFault;
  /** Id of the open transaction, which the next request must carry. */
  readonly transaction?: string;
  /** The log position that the session has observed after the request. */
  readonly position?: SessionPosition;
  /** Whether the request changed data or may have done so. */
  readonly wrote: boolean;
  readonly onReplica: boolean;
  /** Time in the queue and on the backend server, in milliseconds. */
  readonly waitMs: number;
  readonly serviceMs: number;
  /**
   * Load report of the holder or reader; absent without load, and where reports are off. Its
   * receiver checks it: one from another host may be invalid.
   */
  readonly load?: LoadReport | undefined;
}
