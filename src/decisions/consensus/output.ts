import type { Fault } from '../../common/diagnostics/index.js';
import type { RequestId } from '../../common/ids/index.js';
import type { HardState } from './hardState.js';
import type { LogEntry } from './logEntry.js';
import type { MemberId } from './memberId.js';
import type { ConsensusMessage } from './message.js';
import type { Role } from './role.js';
import type { Snapshot } from './snapshot.js';

/** The kinds of outputs of a consensus member. */
export enum OutputKind {
  Send = 'send',
  Persist = 'persist',
  Commit = 'commit',
  RestoreSnapshot = 'restore-snapshot',
  SnapshotDue = 'snapshot-due',
  SnapshotRefused = 'snapshot-refused',
  ProposalAppended = 'proposal-appended',
  ProposalRefused = 'proposal-refused',
  ReadReady = 'read-ready',
  ReadFailed = 'read-failed',
  LeadershipChanged = 'leadership-changed',
}

/** Send a message; it may be lost, delayed, repeated or reordered. */
export interface SendOutput<Command> {
  readonly kind: OutputKind.Send;
  readonly to: MemberId;
  readonly message: ConsensusMessage<Command>;
}

/**
 * Make a change durable, in the order of the sequence, then report Persisted. Within one
 * change: the snapshot replaces the entries up to its index, then the entries from
 * `truncateFrom` on are dropped, then `entries` are appended.
 */
export interface PersistOutput<Command> {
  readonly kind: OutputKind.Persist;
  readonly sequence: number;
  readonly hardState: HardState | undefined;
  readonly snapshot: Snapshot | undefined;
  readonly truncateFrom: number | undefined;
  readonly entries: readonly LogEntry<Command>[];
}

/** Apply committed entries, in index order and each once since the last restore. */
export interface CommitOutput<Command> {
  readonly kind: OutputKind.Commit;
  readonly entries: readonly LogEntry<Command>[];
}

/** Replace the state machine's state. */
export interface RestoreSnapshotOutput {
  readonly kind: OutputKind.RestoreSnapshot;
  readonly snapshot: Snapshot;
}

/**
 * Answer with a Compact input of the state after the last applied entry, once this call's outputs
 * are carried out; `index` is the last committed entry.
 */
export interface SnapshotDueOutput {
  readonly kind: OutputKind.SnapshotDue;
  readonly index: number;
}

/** The state passed with Compact is too large to be sent; the log was not compacted. */
export interface SnapshotRefusedOutput {
  readonly kind: OutputKind.SnapshotRefused;
  readonly fault: Fault;
}

/** A proposal was appended to the log; it is accepted once that index commits with that term. */
export interface ProposalAppendedOutput {
  readonly kind: OutputKind.ProposalAppended;
  readonly request: RequestId;
  readonly index: number;
  readonly term: number;
}

/** A proposal was not appended and will never commit. */
export interface ProposalRefusedOutput {
  readonly kind: OutputKind.ProposalRefused;
  readonly request: RequestId;
  readonly fault: Fault;
}

/** The state machine may be read now; it has applied at least `index`. */
export interface ReadReadyOutput {
  readonly kind: OutputKind.ReadReady;
  readonly request: RequestId;
  readonly index: number;
}

/** The read can't be answered by this member. */
export interface ReadFailedOutput {
  readonly kind: OutputKind.ReadFailed;
  readonly request: RequestId;
  readonly fault: Fault;
}

/** The member's role, its term or its known leader changed. */
export interface LeadershipChangedOutput {
  readonly kind: OutputKind.LeadershipChanged;
  readonly role: Role;
  readonly term: number;
  readonly leader: MemberId | undefined;
}

/**
 * An output of a consensus member. The caller carries outputs out in order, and all outputs of one
 * call before it passes the next input.
 */
export type ConsensusOutput<Command> =
  | SendOutput<Command>
  | PersistOutput<Command>
  | CommitOutput<Command>
  | RestoreSnapshotOutput
  | SnapshotDueOutput
  | SnapshotRefusedOutput
  | ProposalAppendedOutput
  | ProposalRefusedOutput
  | ReadReadyOutput
  | ReadFailedOutput
  | LeadershipChangedOutput;
