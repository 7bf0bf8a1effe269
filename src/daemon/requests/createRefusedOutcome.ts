import type { Fault } from '../../common/diagnostics/index.js';
import { toRequestFault } from './requestFault.js';
import type { RequestOutcome } from './requestOutcome.js';
import { TransactionStatus } from './transactionStatus.js';

/** The outcome of a request that ended with a fault before any backend server saw it. */
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
