import type { UsageSection } from '../usage/index.js';
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
import type { WorkReport } from './workReport.js';

/** Request of a daemon to obtain or renew its lease, with its reports to the control leader. */
export interface LeaseRenewal {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly lease: LeaseId;
  readonly domain: FailureDomain;
  readonly address: string;
  /** Number of the renewal within the lease, to match delayed answers. */
  readonly sequence: number;
  /** Highest sequence of this lease whose answer was received; 0 for none. */
  readonly answered: number;
  /** Time between receiving that answer and sending this renewal, in milliseconds. */
  readonly sinceAnsweredMs: number;
  /** Revision up to which the daemon applied all records. */
  readonly revision: Revision;
  /** Newest announcement of each instance since the last renewal. */
  readonly announcements: readonly ForwardedAnnouncement[];
  /** Instances that reported that they and their logs are gone. */
  readonly departures?: readonly Departure[];
  readonly reports: readonly GroupReport[];
  /** Groups and accounts that the daemon released: it no longer uses them. */
  readonly releasedGroups: readonly GroupId[];
  readonly releasedAccounts: readonly AccountId[];
  /** Tokens left in the token buckets of released accounts; none where absent. */
  readonly releasedTokens?: Readonly<Record<AccountId, number>>;
  /**
   * Whether the daemon accepts no resources and releases those it has: it is stopping or is no
   * entry host.
   */
  readonly stopping: boolean;
  /** Bandwidth of the sender's link in bytes per second, if known. */
  readonly linkBytesPerSecond?: number;
  /** The sender as a member of the control quorum, when it requests admission without a ticket. */
  readonly member?: ControlMember;
  /** Usage counts; absent where usage is not reported, and between sections. */
  readonly usage?: UsageSection;
  /** Work of the held resources; absent where placement by load is off, and between reports. */
  readonly work?: WorkReport;
}
