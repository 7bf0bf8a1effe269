import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import { RequestKind } from '../requests/index.js';
import { createTimeoutFault } from './endOverdue.js';
import type { HeldRequest } from './heldRequest.js';

/**
 * Creates the fault of a request whose connection was lost and that is not retried. `isHarmless`:
 * the request had no effect that outlives its connection.
 */
export function createConnectionLostFault(
  held: HeldRequest,
  fault: Fault,
  isHarmless: boolean,
): Fault {
  const isKnown = isHarmless || held.request.kind === RequestKind.Read;
  if (held.timedOut && isKnown) {
    return createTimeoutFault(held);
  }
  const { diagnostic, values, step, peer } = fault;
  const execution = isHarmless ? Execution.NotRun : Execution.Unknown;
  const context = { step, execution, ...(peer === undefined ? {} : { peer }) };
  return createFault(isKnown ? diagnostic : Diagnostics.OutcomeUnknown, values, context);
}
