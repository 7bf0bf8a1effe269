import type { InstanceRecord } from '../instanceRecord.js';

/** Statements a second that a slot of an instance runs. */
const STATEMENTS_PER_SLOT = 28;
/** Bytes that the link of a holder carries for a statement: request and answer, each in and out. */
const STATEMENT_BYTES = 1900;

/**
 * Whether a holder's link carries less than the slots of its group's instances can serve. Answers a
 * group whose load fills that link before its instances; never where the link's rate is unknown.
 */
export function needsReaders(
  instances: readonly Pick<InstanceRecord, 'slots'>[],
  linkBytesPerSecond: number | undefined,
): boolean {
  const slots = instances.reduce((sum, instance) => sum + instance.slots, 0);
  const fullBytesPerSecond = slots * STATEMENTS_PER_SLOT * STATEMENT_BYTES;
  return linkBytesPerSecond !== undefined && linkBytesPerSecond < fullBytesPerSecond;
}
