import { Diagnostics } from './diagnosticTable.js';
import { createFault } from './fault.js';

/** Throws a fault if an invariant does not hold. */
export function assertInvariant(holds: boolean, invariant: string): asserts holds {
  if (!holds) {
    throw createFault(Diagnostics.InvariantViolated, { invariant }, { step: 'invariant' });
  }
}
