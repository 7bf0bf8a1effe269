import type { InstanceRecord } from '../instanceRecord.js';

/** Statements per second that one slot of an instance runs. */
const STATEMENTS_PER_SLOT = 28;
/**
 * Bytes that a statement puts on a holder's link: request and answer, each inbound and outbound.
 */
const STATEMENT_BYTES = 1900;

/**
 * Whether a holder's link carries less than the slots of its group's instances can serve, so that
 * the group's load saturates that link before its instances. False if the rate of the link is
 * unknown.
 */
export function needsReaders(
  instances: readonly Pick<InstanceRecord, 'slots'>[],
  linkBytesPerSecond: number | undefined,
): boolean {
  const slots = instances.reduce((sum, instance) => sum + instance.slots, 0);
  const fullBytesPerSecond = slots * STATEMENTS_PER_SLOT * STATEMENT_BYTES;
  return linkBytesPerSecond !== undefined && linkBytesPerSecond < fullBytesPerSecond;
}
