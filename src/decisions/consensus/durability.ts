import { assertInvariant } from '../../common/diagnostics/index.js';
import type { HardState } from './hardState.js';
import type { LogEntry } from './logEntry.js';
import type { ConsensusMessage } from './message.js';
import { OutputKind, type PersistOutput } from './output.js';
import type { Snapshot } from './snapshot.js';

/** Maximum number of held messages; beyond it the oldest are dropped, as a network may do. */
export const MAXIMUM_HELD_MESSAGES = 256;

interface PendingPersist {
  readonly sequence: number;
  readonly startedAtMs: number;
  readonly hardState: HardState | undefined;
  /** Last index that this change and the earlier ones make durable. */
  lastIndex: number;
}

interface HeldMessage<Command> {
  readonly sequence: number;
  readonly message: ConsensusMessage<Command>;
}

/** A change to be made durable. */
export interface DurableChange<Command> {
  readonly hardState?: HardState;
  readonly snapshot?: Snapshot;
  readonly truncateFrom?: number;
  readonly entries?: readonly LogEntry<Command>[];
}

/** Tracks which changes are durable, and holds messages that depend on changes which are not. */
export class Durability<Command> {
  private sequence = 0;
  private pending: PendingPersist[] = [];
  private held: HeldMessage<Command>[] = [];

  constructor(
    private durableHardState: HardState,
    private durableIndex: number,
  ) {}

  /** The election state that would survive a crash now. */
  get hardState(): HardState {
    return this.durableHardState;
  }

  /** The index up to which all entries would survive a crash now. */
  get lastIndex(): number {
    return this.durableIndex;
  }

  /**
   * How long the oldest pending change has waited to become durable, in milliseconds; 0 when no
   * change is pending.
   */
  getWaitMs(nowMs: number): number {
    const oldest = this.pending[0];
    return oldest === undefined ? 0 : nowMs - oldest.startedAtMs;
  }

  /** Starts a change; `lastIndex` is the last index of the log after it. */
  begin(change: DurableChange<Command>, lastIndex: number, nowMs: number): PersistOutput<Command> {
    if (change.truncateFrom !== undefined) {
      this.invalidateFrom(change.truncateFrom);
    }
    this.sequence++;
    const { hardState } = change;
    this.pending.push({ sequence: this.sequence, startedAtMs: nowMs, hardState, lastIndex });
    return {
      kind: OutputKind.Persist,
      sequence: this.sequence,
      hardState,
      snapshot: change.snapshot,
      truncateFrom: change.truncateFrom,
      entries: change.entries ?? [],
    };
  }

  /** Holds a message until all changes so far are durable; returns false if they already are. */
  tryHold(message: ConsensusMessage<Command>): boolean {
    if (this.pending.length === 0) {
      return false;
    }
    this.held.push({ sequence: this.sequence, message });
    if (this.held.length > MAXIMUM_HELD_MESSAGES) {
      this.held.shift();
    }
    return true;
  }

  /**
   * Marks the changes up to the sequence number as durable; returns the messages that this
   * releases.
   */
  complete(sequence: number): readonly ConsensusMessage<Command>[] {
    assertInvariant(sequence <= this.sequence, 'only changes that were begun become durable');
    for (const change of this.pending.filter((candidate) => candidate.sequence <= sequence)) {
      this.durableHardState = change.hardState ?? this.durableHardState;
      this.durableIndex = change.lastIndex;
    }
    this.pending = this.pending.filter((change) => change.sequence > sequence);
    const released = this.held.filter((entry) => entry.sequence <= sequence);
    this.held = this.held.filter((entry) => entry.sequence > sequence);
    return released.map((entry) => entry.message);
  }

  /** Marks the entries from the index on as not durable, because others replace them. */
  invalidateFrom(index: number): void {
    this.durableIndex = Math.min(this.durableIndex, index - 1);
    for (const change of this.pending) {
      change.lastIndex = Math.min(change.lastIndex, index - 1);
    }
  }
}
