import type { DaemonRecords } from '../../decisions/control/index.js';
import type { QueueItem } from '../../decisions/queue/index.js';
import { RequestKind } from '../requests/index.js';
import type { HeldInstance } from './heldInstance.js';
import type { HeldRequest } from './heldRequest.js';

/** Creates the queue item of a request for the instance that is to run it. */
export function createQueueItem(
  { request, deadlineMs }: HeldRequest,
  instance: HeldInstance,
  records: DaemonRecords,
): QueueItem {
  const account = records.getAccount(request.account);
  return {
    requestId: request.id,
    account: request.account,
    weight: account?.rate ?? 1,
    deadlineMs,
    costClass: request.costClass,
    ...(request.priority === undefined ? {} : { priority: request.priority }),
    isTransaction: request.kind === RequestKind.Begin,
    // Callers of public routes share an account that no configuration limits.
    maximumOpenTransactions: Math.min(
      account?.maximumOpenTransactions ?? Infinity,
      instance.maximumTransactions,
    ),
  };
}
