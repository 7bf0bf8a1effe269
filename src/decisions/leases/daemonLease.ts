import type { FailureDomain, HostId, LeaseId, Revision } from '../../common/ids/index.js';

/** A daemon's lease, as the leader tracks it. */
export interface DaemonLease {
  readonly lease: LeaseId;
  readonly host: HostId;
  readonly domain: FailureDomain;
  readonly address: string;
  /** Highest sequence number of a processed renewal; 0 for a lease known from the log alone. */
  readonly sequence: number;
  /** Revision that the daemon had applied at that renewal. */
  readonly revision: Revision;
  readonly stopping: boolean;
  /** Bandwidth of its host's link, in bytes per second; absent when unknown. */
  readonly linkBytesPerSecond?: number;
  readonly grantedAtMs: number;
  readonly expiryMs: number;
  /** Whether it was renewed at this leader and is not only known from the log. */
  readonly isLive: boolean;
}
