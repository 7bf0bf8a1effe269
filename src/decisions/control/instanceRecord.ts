import type { FailureDomain, GroupId, InstanceId, Revision } from '../../common/ids/index.js';
import type { RecordKind } from './recordKind.js';

/** What a backend server announced of itself that seldom changes. */
export interface InstanceRecord {
  readonly kind: RecordKind.Instance;
  readonly group: GroupId;
  readonly instance: InstanceId;
  readonly domain: FailureDomain;
  /** PostgreSQL address `ip:port`. */
  readonly address: string;
  /** HTTP address `ip:port` at which the platform takes orders for this instance. */
  readonly platform: string;
  /** Statements that the instance runs at once. */
  readonly slots: number;
  /** Connections that the instance accepts. */
  readonly connectionLimit: number;
  /** It said that it is to stop, and takes no new work. */
  readonly leaving?: boolean;
  /** It is gone for good, with its log. */
  readonly gone?: boolean;
  /** When this life of it started, in Unix milliseconds, where it says so. */
  readonly startedMs?: number;
  /** Revision at which control learnt that it had started again; its log of before may be gone. */
  readonly restarted?: Revision;
}
