import type { Revision } from '../../../common/ids/index.js';
import type { Holder } from '../holder.js';
import type { LeaseRenewal } from '../leaseRenewal.js';

/** Who holds a resource, and since which revision. */
interface HeldResource {
  readonly holder?: Holder;
  readonly since: Revision;
}

/**
 * Whether a renewal was sent by a resource's present holder, which has applied the assignment.
 */
export function isFromHolder(renewal: LeaseRenewal, held: HeldResource | undefined): boolean {
  return held?.holder?.lease === renewal.lease && renewal.revision >= held.since;
}
