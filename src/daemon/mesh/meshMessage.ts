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

/** The first message on a link: who speaks. Both sides send it. */
export interface Hello {
  readonly kind: MeshKind.Hello;
  readonly version: number;
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Mesh address at which the sender takes connections. */
  readonly address: string;
}

/** Asks the other side to answer; a link without answers is condemned. */
export interface Heartbeat {
  readonly kind: MeshKind.Heartbeat | MeshKind.HeartbeatAnswer;
  readonly sequence: number;
}

/** Runs a request at the holder; sent again with the same id after a lost link. */
export interface Execute {
  readonly kind: MeshKind.Execute;
  readonly request: ExecuteRequest;
  /** Bytes of the answer that the sender already has; the rest is sent again. */
  readonly received: number;
}

/** Bytes of an answer; `offset` counts the bytes sent before. */
export interface ResponseBytes {
  readonly kind: MeshKind.ResponseBytes;
  readonly id: RequestId;
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/** The end of an answer. */
export interface ResponseEnd {
  readonly kind: MeshKind.ResponseEnd;
  readonly id: RequestId;
  readonly offset: number;
  /** The last bytes of the answer. */
  readonly bytes: Uint8Array;
  readonly outcome: RequestOutcome;
}

/** Bytes that the receiver of an answer has consumed so far. */
export interface ResponseCredit {
  readonly kind: MeshKind.ResponseCredit;
  readonly id: RequestId;
  readonly consumed: number;
}

/** The caller cancels its request, or is gone and wants no answer. */
export interface Cancel {
  readonly kind: MeshKind.Cancel;
  readonly id: RequestId;
  readonly abandoned: boolean;
}

/** Rolls back a transaction whose caller is gone. */
export interface AbortTransaction {
  readonly kind: MeshKind.AbortTransaction;
  readonly group: GroupId;
  readonly transaction: string;
}

/** A message between an entry limiter and a rate holder. */
export interface TokenEnvelope {
  readonly kind: MeshKind.TokenMessage;
  readonly content: unknown;
}

/** A lease renewal to a control host. */
export interface RenewalEnvelope {
  readonly kind: MeshKind.LeaseRenewal;
  readonly renewal: LeaseRenewal;
}

/** Records of the control state as `RecordPacker` packs them. */
export interface PackedRecords {
  readonly records: Uint8Array;
}

/** The answer to a lease renewal. */
export interface GrantEnvelope {
  readonly kind: MeshKind.LeaseGrant;
  readonly grant: Omit<LeaseGrant, 'records'> & PackedRecords;
}

/** Names the control host that is leader, as far as the sender knows. */
export interface LeaseRedirect {
  readonly kind: MeshKind.LeaseRedirect;
  readonly leader?: string;
}

/** Committed records pushed to a daemon. */
export interface UpdateEnvelope {
  readonly kind: MeshKind.RecordUpdate;
  readonly update: Omit<RecordUpdate, 'records'> & PackedRecords;
}

/** A message between members of the control quorum. */
export interface ConsensusEnvelope {
  readonly kind: MeshKind.Consensus;
  readonly from: string;
  readonly to: string;
  readonly content: unknown;
}

/** A call to the control leader. */
export interface ControlCall {
  readonly kind: MeshKind.ControlCall;
  readonly id: RequestId;
  readonly content: unknown;
}

/** The answer to a call to the control leader. */
export interface ControlAnswer {
  readonly kind: MeshKind.ControlAnswer;
  readonly id: RequestId;
  readonly leader?: string;
  readonly fault?: { readonly code: number; readonly message: string };
  readonly content?: unknown;
}

/** A reader asks the holder of a group how far writes were acknowledged. */
export interface PositionQuestion {
  readonly kind: MeshKind.PositionQuestion;
  readonly group: GroupId;
  /** The holder's lease that the sender believes in force. */
  readonly lease: LeaseId;
  readonly sequence: number;
}

/** Every write of the group that was acknowledged before the question came is at or below the position. */
export interface PositionAnswer {
  readonly kind: MeshKind.PositionAnswer;
  readonly group: GroupId;
  readonly sequence: number;
  readonly term: Term;
  readonly position: LogPosition;
}

/** Everything that daemons send to one another. */
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
