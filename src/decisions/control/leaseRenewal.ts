import type { ControlMember } from '../tickets/index.js';
import type {
  AccountId,
  FailureDomain,
  GroupId,
  HostId,
  Incarnation,
  LeaseId,
  Revision,
} from '../../common/ids/index.js';
import type { Departure } from './departure.js';
import type { ForwardedAnnouncement } from './forwardedAnnouncement.js';
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
  /** Highest sequence of this lease whose answer came; 0 for none. */
  readonly answered: number;
  /** Time between that answer and sending this, in milliseconds. */
  readonly sinceAnsweredMs: number;
  /** The revision up to which the daemon applied all records. */
  readonly revision: Revision;
  /** The newest announcement of each instance since the last renewal. */
  readonly announcements: readonly ForwardedAnnouncement[];
  /** Instances that said that they are gone, with their logs. */
  readonly departures?: readonly Departure[];
  readonly reports: readonly GroupReport[];
  /** Resources that the daemon gave up: it acts on them no more. */
  readonly releasedGroups: readonly GroupId[];
  readonly releasedAccounts: readonly AccountId[];
  /** Tokens left in the buckets of released accounts; none where left out. */
  readonly releasedTokens?: Readonly<Record<AccountId, number>>;
  /** The daemon takes no resources and gives up those it has: it is stopping or no entry host. */
  readonly stopping: boolean;
  /** What the sender's link carries, in bytes a second, where that is known. */
  readonly linkBytesPerSecond?: number;
  /** The sender as a member of the control quorum, when it is to be admitted by itself. */
  readonly member?: ControlMember;
}
