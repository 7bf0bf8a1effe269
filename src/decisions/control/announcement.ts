import type {
  FailureDomain,
  GroupId,
  InstanceId,
  LogPosition,
  Term,
} from '../../common/ids/index.js';

/** The role that a backend server says it has. */
export enum InstanceRole {
  Primary = 'primary',
  Replica = 'replica',
}

/** What a backend server announces of itself, several times a second. */
export interface Announcement {
  readonly group: GroupId;
  readonly instance: InstanceId;
  readonly domain: FailureDomain;
  /** PostgreSQL address `ip:port`. */
  readonly address: string;
  /** HTTP address `ip:port` at which the platform takes orders for this instance. */
  readonly platform: string;
  readonly role: InstanceRole;
  /** 0 when the backend server announces no position; it is learnt over connections then. */
  readonly term: Term;
  readonly position: LogPosition;
  readonly slots: number;
  readonly connectionLimit: number;
  readonly leaving: boolean;
  /** When the instance started, in Unix milliseconds; another life of it starts later. */
  readonly startedMs?: number;
  /** Rises with each announcement of one life. */
  readonly sequence?: number;
}
