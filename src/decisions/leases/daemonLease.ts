import type { FailureDomain, HostId, LeaseId, Revision } from '../../common/ids/index.js';

/** One daemon's lease as the leader counts it. */
export interface DaemonLease {
  readonly lease: LeaseId;
  readonly host: HostId;
  readonly domain: FailureDomain;
  readonly address: string;
  /** Highest renewal taken in; 0 for a lease known from the log alone. */
  readonly sequence: number;
  /** Revision that the daemon had applied at that renewal. */
  readonly revision: Revision;
  readonly stopping: boolean;
  /** What its host's link carries, in bytes a second; absent where that is unknown. */
  readonly linkBytesPerSecond?: number;
  readonly grantedAtMs: number;
  readonly expiryMs: number;
  /** Renewed at this leader, not only known from the log. */
  readonly isLive: boolean;
}
