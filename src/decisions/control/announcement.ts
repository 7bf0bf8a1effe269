import type {
  FailureDomain,
  GroupId,
  InstanceId,
  LogPosition,
  Term,
} from '../../common/ids/index.js';

/** Role that a backend server announces. */
export enum InstanceRole {
  Primary = 'primary',
  Replica = 'replica',
}

/** Report of a backend server's own state, sent several times a second. */
export interface Announcement {
  readonly group: GroupId;
  readonly instance: InstanceId;
  readonly domain: FailureDomain;
  /** PostgreSQL address `ip:port`. */
  readonly address: string;
  /** HTTP address `ip:port` at which the platform accepts commands for this instance. */
  readonly platform: string;
  readonly role: InstanceRole;
  /**
   * Term of the log position; 0 when the backend server announces no position, which is then
   * queried over connections.
   */
  readonly term: Term;
  readonly position: LogPosition;
  readonly slots: number;
  readonly connectionLimit: number;
  readonly leaving: boolean;
  /** Start time of the instance in Unix milliseconds; a later incarnation has a later one. */
  readonly startedMs?: number;
  /** Time in milliseconds until the instance, still slow after its start, is warm. */
  readonly remainingWarmupMs?: number;
  /** Increases with each announcement of one incarnation. */
  readonly sequence?: number;
}
