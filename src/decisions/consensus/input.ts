import type { RequestId } from '../../common/ids/index.js';
import type { MembershipChange } from './membershipChange.js';
import type { ConsensusMessage } from './message.js';

/** The kinds of inputs of a consensus member. */
export enum InputKind {
  Tick = 'tick',
  Receive = 'receive',
  Propose = 'propose',
  ChangeMembership = 'change-membership',
  RequestReadBarrier = 'request-read-barrier',
  Persisted = 'persisted',
  Compact = 'compact',
  TransferLeadership = 'transfer-leadership',
}

/** Time passed; expected several times per heartbeat interval. */
export interface TickInput {
  readonly kind: InputKind.Tick;
}

/** A message from another member arrived. */
export interface ReceiveInput<Command> {
  readonly kind: InputKind.Receive;
  readonly message: ConsensusMessage<Command>;
}

/** Appends a command; answered by ProposalAppended or ProposalRefused. */
export interface ProposeInput<Command> {
  readonly kind: InputKind.Propose;
  readonly request: RequestId;
  readonly command: Command;
}

/** Changes one member; answered by ProposalAppended or ProposalRefused. */
export interface ChangeMembershipInput {
  readonly kind: InputKind.ChangeMembership;
  readonly request: RequestId;
  readonly change: MembershipChange;
}

/** Requests a linearizable read; answered by ReadReady or ReadFailed. */
export interface RequestReadBarrierInput {
  readonly kind: InputKind.RequestReadBarrier;
  readonly request: RequestId;
}

/** Every Persist output up to the sequence is durable. */
export interface PersistedInput {
  readonly kind: InputKind.Persisted;
  readonly sequence: number;
}

/** The state machine's state after the entry at `index`, in answer to SnapshotDue. */
export interface CompactInput {
  readonly kind: InputKind.Compact;
  readonly index: number;
  readonly state: Uint8Array;
}

/** Transfers leadership to another voter before a planned stop. */
export interface TransferLeadershipInput {
  readonly kind: InputKind.TransferLeadership;
}

/** An input to a consensus member. */
export type ConsensusInput<Command> =
  | TickInput
  | ReceiveInput<Command>
  | ProposeInput<Command>
  | ChangeMembershipInput
  | RequestReadBarrierInput
  | PersistedInput
  | CompactInput
  | TransferLeadershipInput;
