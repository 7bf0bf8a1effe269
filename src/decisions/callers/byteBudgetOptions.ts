/** Limits on what clients make a process hold. */
export interface ByteBudgetOptions {
  /** Bytes that the process holds for all connections together. */
  readonly totalBytes: number;
  /** Bytes above which a connection is not read further. */
  readonly connectionBytes: number;
  /** Time for a message that is being received to advance. */
  readonly messageTimeoutMs: number;
  /** Time for a part of an answer to be taken. */
  readonly answerTimeoutMs: number;
  /** Time for a client to identify itself. */
  readonly introductionTimeoutMs: number;
}
