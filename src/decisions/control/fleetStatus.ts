import type {
  AccountId,
  FailureDomain,
  GroupId,
  HostId,
  InstanceId,
  LogPosition,
  Revision,
  Term,
} from '../../common/ids/index.js';
import type { InstanceRole } from './announcement.js';
import type { PrimaryPhase } from './groupPrimary.js';

/** One daemon as the control leader sees it. */
export interface DaemonStatus {
  readonly host: HostId;
  readonly domain: FailureDomain;
  readonly address: string;
  readonly revision: Revision;
  /** Time left of its lease, in milliseconds. */
  readonly leaseLeftMs: number;
}

/** One backend server as the control leader sees it. */
export interface InstanceStatus {
  readonly instance: InstanceId;
  readonly domain: FailureDomain;
  readonly role: InstanceRole;
  readonly term: Term;
  readonly position: LogPosition;
  /** The host that runs its reads; the group's holder where absent. */
  readonly reader?: HostId;
  readonly announcedAgoMs: number;
}

/** One database group as the control leader sees it. */
export interface GroupStatus {
  readonly group: GroupId;
  readonly holder?: HostId;
  readonly term: Term;
  readonly primary?: InstanceId;
  readonly phase?: PrimaryPhase;
  readonly instances: readonly InstanceStatus[];
}

/** The holder of one client account's rate. */
export interface AccountStatus {
  readonly account: AccountId;
  readonly holder?: HostId;
}

/** The fleet as the control leader sees it. */
export interface FleetStatus {
  readonly leader: HostId;
  readonly controlTerm: number;
  readonly revision: Revision;
  readonly daemons: readonly DaemonStatus[];
  readonly groups: readonly GroupStatus[];
  readonly accounts: readonly AccountStatus[];
}
