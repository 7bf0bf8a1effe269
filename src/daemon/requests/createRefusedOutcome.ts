import type { Fault } from '../../common/diagnostics/index.js';
import { toRequestFault } from './requestFault.js';
import type { RequestOutcome } from './requestOutcome.js';
import { TransactionStatus } from './transactionStatus.js';

/** Creates the outcome of a request that failed before it was sent to a backend server. */
export function createRefusedOutcome(
  fault: Fault,
  status: TransactionStatus = TransactionStatus.Idle,
): RequestOutcome {
  return {
    status,
    fault: toRequestFault(fault),
    wrote: false,
    onReplica: false,
    waitMs: 0,
    serviceMs: 0,
  };
}
