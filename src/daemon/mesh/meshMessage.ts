import type {
  GroupId,
  HostId,
  Incarnation,
  LeaseId,
  LogPosition,
  RequestId,
  Term,
} from '../../common/ids/index.js';
import type { LeaseGrant, LeaseRenewal, RecordUpdate } from '../../decisions/control/index.js';
import type { ExecuteRequest } from '../requests/executeRequest.js';
import type { RequestOutcome } from '../requests/requestOutcome.js';
import type { MeshKind } from './meshKind.js';

/** First message on a link, sent by both sides: identifies the sender. */
export interface Hello {
  readonly kind: MeshKind.Hello;
  readonly version: number;
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Mesh address at which the sender accepts connections. */
  readonly address: string;
}

/** Heartbeat, or the answer to one; a link over which nothing is received for too long is closed. */
export interface Heartbeat {
  readonly kind: MeshKind.Heartbeat | MeshKind.HeartbeatAnswer;
  readonly sequence: number;
}

/** Runs a request at the holder; sent again with the same id after its link was lost. */
export interface Execute {
  readonly kind: MeshKind.Execute;
  readonly request: ExecuteRequest;
  /** Number of bytes of the answer that the sender already has; the holder sends the rest. */
  readonly received: number;
}

/** Part of an answer; `offset` is the number of bytes sent before it. */
export interface ResponseBytes {
  readonly kind: MeshKind.ResponseBytes;
  readonly id: RequestId;
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/** End of an answer, with the outcome of the request. */
export interface ResponseEnd {
  readonly kind: MeshKind.ResponseEnd;
  readonly id: RequestId;
  readonly offset: number;
  /** Last bytes of the answer. */
  readonly bytes: Uint8Array;
  readonly outcome: RequestOutcome;
}

/** Number of bytes that the receiver of an answer has consumed so far, for flow control. */
export interface ResponseCredit {
  readonly kind: MeshKind.ResponseCredit;
  readonly id: RequestId;
  readonly consumed: number;
}

/**
 * Cancels a request for its caller; `abandoned` means that the caller disconnected. A revoked
 * request is refused unless it was started; hosts of an earlier version cancel it in any case.
 */
export interface Cancel {
  readonly kind: MeshKind.Cancel;
  readonly id: RequestId;
  readonly abandoned: boolean;
  readonly revoked?: boolean;
}

/** Rolls back a transaction whose caller disconnected. */
export interface AbortTransaction {
  readonly kind: MeshKind.AbortTransaction;
  readonly group: GroupId;
  readonly transaction: string;
}

/** Message between an entry limiter and the holder of an account. */
export interface TokenEnvelope {
  readonly kind: MeshKind.TokenMessage;
  readonly content: unknown;
}

/** Lease renewal sent to a control host. */
export interface RenewalEnvelope {
  readonly kind: MeshKind.LeaseRenewal;
  readonly renewal: LeaseRenewal;
}

/** Records of the control state, packed by `RecordPacker`. */
export interface PackedRecords {
  readonly records: Uint8Array;
}

/** Answer to a lease renewal. */
export interface GrantEnvelope {
  readonly kind: MeshKind.LeaseGrant;
  readonly grant: Omit<LeaseGrant, 'records'> & PackedRecords;
}

/** Answer of a control host that does not lead, with the leader's address if known. */
export interface LeaseRedirect {
  readonly kind: MeshKind.LeaseRedirect;
  readonly leader?: string;
}

/** Update of committed records pushed to a daemon. */
export interface UpdateEnvelope {
  readonly kind: MeshKind.RecordUpdate;
  readonly update: Omit<RecordUpdate, 'records'> & PackedRecords;
}

/** Message between members of the control quorum. */
export interface ConsensusEnvelope {
  readonly kind: MeshKind.Consensus;
  readonly from: string;
  readonly to: string;
  readonly content: unknown;
}

/** Call to the control leader. */
export interface ControlCall {
  readonly kind: MeshKind.ControlCall;
  readonly id: RequestId;
  readonly content: unknown;
}

/** Answer to a call to the control leader. */
export interface ControlAnswer {
  readonly kind: MeshKind.ControlAnswer;
  readonly id: RequestId;
  readonly leader?: string;
  readonly fault?: { readonly code: number; readonly message: string };
  readonly content?: unknown;
}

/** Query of a reader to a group's holder for the position of acknowledged writes. */
export interface PositionQuestion {
  readonly kind: MeshKind.PositionQuestion;
  readonly group: GroupId;
  /** Lease of the holder that is in force according to the sender. */
  readonly lease: LeaseId;
  readonly sequence: number;
}

/**
 * Answer to a position query: every write of the group that was acknowledged before the query was
 * received is at or below the position.
 */
export interface PositionAnswer {
  readonly kind: MeshKind.PositionAnswer;
  readonly group: GroupId;
  readonly sequence: number;
  readonly term: Term;
  readonly position: LogPosition;
}

/** Any message between daemons. */
export type MeshMessage =
  | Hello
  | Heartbeat
  | Execute
  | ResponseBytes
  | ResponseEnd
  | ResponseCredit
  | Cancel
  | AbortTransaction
  | TokenEnvelope
  | RenewalEnvelope
  | GrantEnvelope
  | LeaseRedirect
  | UpdateEnvelope
  | ConsensusEnvelope
  | ControlCall
  | ControlAnswer
  | PositionQuestion
  | PositionAnswer;
