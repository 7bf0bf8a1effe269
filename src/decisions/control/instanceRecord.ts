import type { FailureDomain, GroupId, InstanceId, Revision } from '../../common/ids/index.js';
import type { RecordKind } from './recordKind.js';

/** Rarely changing part of a backend server's announcements. */
export interface InstanceRecord {
  readonly kind: RecordKind.Instance;
  readonly group: GroupId;
  readonly instance: InstanceId;
  readonly domain: FailureDomain;
  /** PostgreSQL address `ip:port`. */
  readonly address: string;
  /** HTTP address `ip:port` at which the platform accepts commands for this instance. */
  readonly platform: string;
  /** Number of statements that the instance runs concurrently. */
  readonly slots: number;
  /** Number of connections that the instance accepts. */
  readonly connectionLimit: number;
  /** Whether the instance announced that it will stop; it gets no new work. */
  readonly leaving?: boolean;
  /** Whether the instance and its log are gone permanently. */
  readonly gone?: boolean;
  /** Start time of this incarnation in Unix milliseconds, if announced. */
  readonly startedMs?: number;
  /**
   * Time in milliseconds until the instance is warm, as first announced when it became cold; absent
   * while it is warm. It does not count down.
   */
  readonly warmupMs?: number;
  /** Revision at which control registered a restart; the log from before it may be lost. */
  readonly restarted?: Revision;
  /**
   * Whether everything that the gone instance had received was observed on another instance after
   * it was registered as gone.
   */
  readonly covered?: boolean;
}
