import type { Outcome } from '../../common/result.js';
import type { MemberId, PersistOutput, StoredState } from '../../decisions/consensus/index.js';

/** An incomplete last record that was dropped when the log was opened. */
export interface TailRepair {
  readonly file: string;
  readonly droppedBytes: number;
}

/** The content of a log when it was opened. */
export interface OpenedLog<Command> {
  readonly identity: MemberId;
  /** Whether the log was newly created, as on a first start or after the loss of the disk. */
  readonly isNew: boolean;
  readonly state: StoredState<Command>;
  readonly repair: TailRepair | undefined;
}

/** The identity and initial state of a new log. */
export interface LogFounding<Command> {
  readonly identity: MemberId;
  readonly state: StoredState<Command>;
}

/** Stores a member's log durably, so that it survives a crash. */
export abstract class LogStorage<Command> {
  /**
   * Time for which writes have failed on a full disk, in milliseconds; undefined if none is
   * waiting.
   */
  abstract readonly refusedMs: number | undefined;

  /**
   * Reads the stored log. If there is none, creates one from `createFounding` and waits for free
   * space on the disk for it. Fails with RecordCorrupt or StorageFailed.
   */
  abstract open(createFounding: () => LogFounding<Command>): Outcome<OpenedLog<Command>>;

  /**
   * Makes a change durable after all earlier ones and returns its sequence number; on a full disk,
   * it waits for free space. Fails with StorageFailed, after which every later change fails too.
   */
  abstract persist(change: PersistOutput<Command>): Outcome<number>;

  /** Waits for pending changes and closes the files; changes that wait for free space fail. */
  abstract close(): Outcome<void>;
}
