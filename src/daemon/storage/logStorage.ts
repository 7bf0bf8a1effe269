import type { Outcome } from '../../common/result.js';
import type { MemberId, PersistOutput, StoredState } from '../../decisions/consensus/index.js';

/** An unfinished record that was dropped when the log was opened. */
export interface TailRepair {
  readonly file: string;
  readonly droppedBytes: number;
}

/** What was found when the log was opened. */
export interface OpenedLog<Command> {
  readonly identity: MemberId;
  /** Whether this opening founded the log, as on a first start or after a lost disk. */
  readonly isNew: boolean;
  readonly state: StoredState<Command>;
  readonly repair: TailRepair | undefined;
}

/** The identity and state of a log that is founded now. */
export interface LogFounding<Command> {
  readonly identity: MemberId;
  readonly state: StoredState<Command>;
}

/** Keeps a member's log so that it survives a crash. */
export abstract class LogStorage<Command> {
  /** For how long changes have waited for room on the disk, in milliseconds; undefined if none does. */
  abstract readonly refusedMs: number | undefined;

  /**
   * Reads what is stored; `createFounding` is called only when nothing is, and
   * waits for room on the disk then. Fails with RecordCorrupt or StorageFailed.
   */
  abstract open(createFounding: () => LogFounding<Command>): Outcome<OpenedLog<Command>>;

  /**
   * Makes a change durable after all earlier ones; succeeds with its sequence, on a full disk once it has
   * room. Fails with StorageFailed, after which every later change fails too.
   */
  abstract persist(change: PersistOutput<Command>): Outcome<number>;

  /** Waits for the changes under way and closes the files; those that wait for room fail. */
  abstract close(): Outcome<void>;
}
