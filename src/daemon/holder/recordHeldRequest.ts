import { RequestClass } from '../../common/metrics/index.js';
import { RequestKind } from '../requests/index.js';
import type { HeldRequest } from './heldRequest.js';
import type { HolderContext } from './holderContext.js';

/** Records the outcome of a request at its holder in the metrics. */
export function recordHeldRequest(held: HeldRequest, { metrics, timer }: HolderContext): void {
  const { request, fault, startedMs, arrivedMs, instance } = held;
  const waitMs = (startedMs ?? timer.now()) - arrivedMs;
  if (request.instance !== undefined && fault === undefined) {
    metrics.recordReaderRead();
  }
  metrics.recordRequest(instance?.id, getRequestClass(request.kind), fault?.code, waitMs);
}

function getRequestClass(kind: RequestKind): RequestClass {
  switch (kind) {
    case RequestKind.Read:
      return RequestClass.Read;
    case RequestKind.Write:
      return RequestClass.Write;
    case RequestKind.Begin:
    case RequestKind.Inside:
    case RequestKind.End:
      return RequestClass.Transaction;
  }
}
