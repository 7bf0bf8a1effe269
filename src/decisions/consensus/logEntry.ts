import type { Membership } from './membership.js';

/** The kinds of log entries. */
export enum EntryKind {
  Command = 'command',
  Membership = 'membership',
  /** Written by a new leader so that an entry of its own term can be committed. */
  Empty = 'empty',
}

interface EntryBase {
  /** Position in the log, from 1. */
  readonly index: number;
  /** Term of the leader that wrote the entry. */
  readonly term: number;
}

/** An entry with a command of the replicated state machine. */
export interface CommandEntry<Command> extends EntryBase {
  readonly kind: EntryKind.Command;
  readonly command: Command;
  readonly sizeBytes: number;
}

/** An entry with the complete new membership, which takes effect as soon as it is appended. */
export interface MembershipEntry extends EntryBase {
  readonly kind: EntryKind.Membership;
  readonly membership: Membership;
}

/** An entry without content. */
export interface EmptyEntry extends EntryBase {
  readonly kind: EntryKind.Empty;
}

/** An entry of the replicated log. */
export type LogEntry<Command> = CommandEntry<Command> | MembershipEntry | EmptyEntry;
