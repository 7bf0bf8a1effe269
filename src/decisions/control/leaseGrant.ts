import type { LeaseId, Revision } from '../../common/ids/index.js';
import type { UsageGrant } from '../usage/index.js';
import type { ControlRecord } from './controlRecord.js';

/** Answer of the control leader to a lease renewal. */
export interface LeaseGrant {
  readonly lease: LeaseId;
  readonly sequence: number;
  /**
   * Length of the grant from the sending of the renewal, in milliseconds; 0 when nothing was
   * granted.
   */
  readonly lengthMs: number;
  /** Whether the lease expired or was retired: the daemon must start one under a new id. */
  readonly retired: boolean;
  /** Revision after which the records begin; the renewal's revision when absent. */
  readonly since?: Revision;
  /** Revision up to which `records` contains all changes. */
  readonly revision: Revision;
  readonly records: readonly ControlRecord[];
  /** Answer to the renewal's usage counts, if it had any. */
  readonly usage?: UsageGrant;
}
