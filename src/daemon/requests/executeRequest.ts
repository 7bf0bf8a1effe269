import type { AccountId, GroupId, InstanceId, LeaseId, RequestId } from '../../common/ids/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import type { PreparedStatement } from './preparedStatement.js';
import type { RequestKind } from './requestKind.js';

/** A run-time parameter that a session has set. */
export interface SessionValue {
  readonly name: string;
  readonly value: string;
}

/** A caller's request to the holder of its database group, or to a reader. */
export interface ExecuteRequest {
  /** Unique within the sender's incarnation; stays the same when the request is sent again. */
  readonly id: RequestId;
  readonly group: GroupId;
  /** The replica whose reader runs the request; if absent, the group's holder runs it. */
  readonly instance?: InstanceId;
  /** The lease of the holder or reader that is in force as far as the sender knows. */
  readonly lease: LeaseId;
  readonly account: AccountId;
  readonly kind: RequestKind;
  /** Whether running the request twice has the same effect as running it once. */
  readonly idempotent: boolean;
  /**
   * Whether the request may commit data; the log position is then read before the acknowledgement.
   */
  readonly mayCommit: boolean;
  /** Time left until the deadline when the request was sent, in milliseconds. */
  readonly remainingMs: number;
  /** Whether the request only reads, or begins a transaction that only reads. */
  readonly readOnly?: boolean;
  /** The caller's own id of the request, used in logs. */
  readonly trace?: string;
  /** Time within which the caller wants the answer, in milliseconds. */
  readonly targetMs?: number;
  /**
   * Priority of the route, 0 first, fixed for a transaction at its begin; absent if the route has
   * none or the sender is of an earlier version.
   */
  readonly priority?: number;
  /** Whether the request must see every write that was acknowledged before it. */
  readonly latest?: boolean;
  /** Values that the session has set; applied to the connection where its own values differ. */
  readonly values?: readonly SessionValue[];
  readonly session?: SessionPosition;
  readonly maximumStalenessMs?: number;
  /** The open transaction that the request belongs to. */
  readonly transaction?: string;
  /** Whether to close the connection after the request, whose effects on its state are unknown. */
  readonly closesConnection: boolean;
  /** Key that is shared by statements of similar cost. */
  readonly costClass: string;
  readonly prepared: readonly PreparedStatement[];
  /** The messages for the backend server, encoded in its protocol. */
  readonly payload: Uint8Array;
}
