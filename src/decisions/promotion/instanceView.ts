import type {
  FailureDomain,
  InstanceId,
  LogPosition,
  Revision,
  Term,
} from '../../common/ids/index.js';
import type { InstanceRole } from '../control/announcement.js';

/** A measured place in a history, and when control received it. */
export interface MeasuredPoint {
  readonly term: Term;
  readonly position: LogPosition;
  readonly receivedAtMs: number;
}

/** What a backend server announced last. */
export interface AnnouncedPlace extends MeasuredPoint {
  /** Earliest time at which a daemon can have received it; -Infinity when that can't be told. */
  readonly measuredFromMs: number;
  readonly role: InstanceRole;
  readonly leaving: boolean;
}

/** What the holder saw last of an instance. */
export interface SightedPlace extends MeasuredPoint {
  readonly reachable: boolean;
  /** Whether it said that it is primary; absent when it did not tell. */
  readonly isPrimary?: boolean;
}

/** One instance as the choice of a primary sees it. */
export interface InstanceView {
  readonly instance: InstanceId;
  readonly domain: FailureDomain;
  /** Its failure domain takes new work. */
  readonly inService: boolean;
  /** A ticket says that it is leaving. */
  readonly leaving: boolean;
  /** Revision of that ticket; 0 when no ticket says anything. */
  readonly leavingRevision: Revision;
  /** Revision at which it was last known to have started again; 0 when it never did. */
  readonly restartedRevision: Revision;
  readonly announced: AnnouncedPlace | undefined;
  readonly sighted: SightedPlace | undefined;
}
