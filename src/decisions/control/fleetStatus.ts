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

/** Status of a daemon as known to the control leader. */
export interface DaemonStatus {
  readonly host: HostId;
  readonly domain: FailureDomain;
  readonly address: string;
  readonly revision: Revision;
  /** Remaining time of its lease in milliseconds. */
  readonly leaseLeftMs: number;
}

/** Status of a backend server as known to the control leader. */
export interface InstanceStatus {
  readonly instance: InstanceId;
  readonly domain: FailureDomain;
  readonly role: InstanceRole;
  readonly term: Term;
  readonly position: LogPosition;
  /** Host that runs its reads; the group's holder when absent. */
  readonly reader?: HostId;
  readonly announcedAgoMs: number;
}

/** Status of a database group as known to the control leader. */
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

/** Status of the fleet as known to the control leader. */
export interface FleetStatus {
  readonly leader: HostId;
  readonly controlTerm: number;
  readonly revision: Revision;
  readonly daemons: readonly DaemonStatus[];
  readonly groups: readonly GroupStatus[];
  readonly accounts: readonly AccountStatus[];
}
