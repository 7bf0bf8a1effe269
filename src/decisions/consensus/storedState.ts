import type { HardState } from './hardState.js';
import type { LogEntry } from './logEntry.js';
import type { MemberId } from './memberId.js';
import type { Snapshot } from './snapshot.js';

/** The state that a member reads from its disk when it starts. */
export interface StoredState<Command> {
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  /** Contiguous entries after the snapshot. */
  readonly entries: readonly LogEntry<Command>[];
}

/** Creates the state of a member that waits for a leader to add it as a learner. */
export function createEmptyState<Command>(): StoredState<Command> {
  return { hardState: { term: 0, votedFor: undefined }, snapshot: undefined, entries: [] };
}

/**
 * Creates the initial state of a new quorum. Every founding member starts from the same voters, and
 * only once: a host that lost its disk starts from the empty state under a new identity.
 */
export function createFoundingState<Command>(voters: readonly MemberId[]): StoredState<Command> {
  return {
    ...createEmptyState<Command>(),
    snapshot: {
      index: 0,
      term: 0,
      membership: { voters: [...voters], learners: [] },
      state: new Uint8Array(0),
    },
  };
}
