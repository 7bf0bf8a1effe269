import type { LeaseId, Revision } from '../../common/ids/index.js';
import type { UsageSnapshot } from '../usage/index.js';
import type { ControlRecord } from './controlRecord.js';
import type { TicketRegistrySnapshot } from './ticketRegistry.js';

/** Snapshot of the complete control state as plain data. */
export interface ControlSnapshot {
  readonly revision: Revision;
  readonly records: readonly ControlRecord[];
  readonly tickets: TicketRegistrySnapshot;
  readonly retiredLeases: readonly LeaseId[];
  /** Absent where no usage was ever committed, as in snapshots of earlier versions. */
  readonly usage?: UsageSnapshot;
}
