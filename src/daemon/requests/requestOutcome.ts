import type { SessionPosition } from '../../decisions/sessions/index.js';
import type { RequestFault } from './requestFault.js';
import type { TransactionStatus } from './transactionStatus.js';

/** How a request ended at its holder. */
export interface RequestOutcome {
  readonly status: TransactionStatus;
  /** Why there is no answer of a backend server, or only a part of one. */
  readonly fault?: RequestFault;
  /** The open transaction, to be named by the next request. */
  readonly transaction?: string;
  /** The position that the session has now seen. */
  readonly position?: SessionPosition;
  /** The request changed data, or may have. */
  readonly wrote: boolean;
  readonly onReplica: boolean;
  /** Time in the queue and on the backend server, in milliseconds. */
  readonly waitMs: number;
  readonly serviceMs: number;
}
