import type { LeaseId, Revision } from '../../common/ids/index.js';
import type { ControlRecord } from './controlRecord.js';

/** The control leader's answer to a renewal. */
export interface LeaseGrant {
  readonly lease: LeaseId;
  readonly sequence: number;
  /** Granted time from when the renewal was sent, in milliseconds; 0 when none was granted. */
  readonly lengthMs: number;
  /** The lease ran out or was retired: the daemon must start one under a new id. */
  readonly retired: boolean;
  /** The records begin after this revision; absent: after the renewal's. */
  readonly since?: Revision;
  /** The records up to `revision` that changed since then. */
  readonly revision: Revision;
  readonly records: readonly ControlRecord[];
}
