import type {
  FailureDomain,
  InstanceId,
  LogPosition,
  Revision,
  Term,
} from '../../common/ids/index.js';
import type { InstanceRole } from '../control/announcement.js';

/** A measured log point and the time at which control received it. */
export interface MeasuredPoint {
  readonly term: Term;
  readonly position: LogPosition;
  readonly receivedAtMs: number;
}

/** The log point and state that an instance announced last. */
export interface AnnouncedPoint extends MeasuredPoint {
  /** Earliest time at which a daemon can have received it; -Infinity when unknown. */
  readonly earliestReceiptMs: number;
  readonly role: InstanceRole;
  readonly leaving: boolean;
}

/** The holder's last observation of an instance. */
export interface ObservedPoint extends MeasuredPoint {
  readonly reachable: boolean;
  /** Whether the instance reported that it is primary; absent when it did not report its role. */
  readonly isPrimary?: boolean;
}

/** The properties of an instance on which the choice of a primary depends. */
export interface InstanceView {
  readonly instance: InstanceId;
  readonly domain: FailureDomain;
  /** Whether its failure domain accepts new work. */
  readonly inService: boolean;
  /** Whether a ticket or its own announcement marks it as leaving. */
  readonly leaving: boolean;
  /** Revision since which every holder knows that it is leaving; 0 when it is not leaving. */
  readonly leavingRevision: Revision;
  /**
   * Revision of its last restart after which its earlier log was not observed on another instance; 0
   * when there is none.
   */
  readonly restartedRevision: Revision;
  readonly announced: AnnouncedPoint | undefined;
  readonly observed: ObservedPoint | undefined;
}
