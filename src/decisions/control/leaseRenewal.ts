import type {
  AccountId,
  FailureDomain,
  GroupId,
  HostId,
  Incarnation,
  LeaseId,
  Revision,
} from '../../common/ids/index.js';
import type { Announcement } from './announcement.js';
import type { GroupReport } from './groupReport.js';

/** A daemon's request to take or renew its lease; also carries all that it reports to control. */
export interface LeaseRenewal {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly lease: LeaseId;
  readonly domain: FailureDomain;
  readonly address: string;
  /** Counts this lease's renewals, so that late answers are told apart. */
  readonly sequence: number;
  /** The revision up to which the daemon applied all records. */
  readonly revision: Revision;
  readonly announcements: readonly Announcement[];
  readonly reports: readonly GroupReport[];
  /** Resources that the daemon gave up: it acts on them no more. */
  readonly releasedGroups: readonly GroupId[];
  readonly releasedAccounts: readonly AccountId[];
  /** The daemon is stopping and takes no new resources. */
  readonly stopping: boolean;
}
