import type { AccountId, GroupId, InstanceId, LeaseId, RequestId } from '../../common/ids/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import type { PreparedStatement } from './preparedStatement.js';
import type { RequestKind } from './requestKind.js';

/** A value that a session has set. */
export interface SessionValue {
  readonly name: string;
  readonly value: string;
}

/** One request of a caller on its way to the holder of its database group. */
export interface ExecuteRequest {
  /** Unique over the sender's incarnation; the same when the request is sent again. */
  readonly id: RequestId;
  readonly group: GroupId;
  /** The replica whose reader is to run it; absent: the group's holder is. */
  readonly instance?: InstanceId;
  /** The lease of the holder or reader that the sender believes in force. */
  readonly lease: LeaseId;
  readonly account: AccountId;
  readonly kind: RequestKind;
  /** It may be run twice with the effect of once. */
  readonly idempotent: boolean;
  /** Data may be committed by it: its position is read before it is acknowledged. */
  readonly mayCommit: boolean;
  /** Time left until the deadline when the request was sent, in milliseconds. */
  readonly remainingMs: number;
  /** It reads only, also as the first of a transaction that only reads. */
  readonly readOnly?: boolean;
  /** The caller's own id of it, under which logs name it. */
  readonly trace?: string;
  /** Time within which the caller wants the answer, in milliseconds. */
  readonly targetMs?: number;
  /** It must see every write acknowledged before it. */
  readonly latest?: boolean;
  /** Values that the session has set, applied to the connection where it has others. */
  readonly values?: readonly SessionValue[];
  readonly session?: SessionPosition;
  readonly maximumStalenessMs?: number;
  /** The open transaction that the request belongs to. */
  readonly transaction?: string;
  /** Effects on the connection are unknown: it is closed after the request. */
  readonly closesConnection: boolean;
  /** Names statements of similar cost. */
  readonly costClass: string;
  readonly prepared: readonly PreparedStatement[];
  /** What the backend server is to run, in the form of its protocol. */
  readonly payload: Uint8Array;
}
