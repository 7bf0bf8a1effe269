import { Execution } from '../../common/diagnostics/index.js';

/** State of a request after a failed attempt. */
export interface FailedAttempt {
  readonly execution: Execution;
  /** Whether it is a read or the caller declared it idempotent. */
  readonly idempotent: boolean;
  /** Whether part of an answer has already been sent to the caller. */
  readonly answered: boolean;
  readonly inTransaction: boolean;
  readonly nowMs: number;
  readonly deadlineMs: number;
}

/** Returns whether a failed request may be retried. */
export function mayRetry(attempt: FailedAttempt): boolean {
  if (attempt.answered || attempt.inTransaction || attempt.nowMs >= attempt.deadlineMs) {
    return false;
  }
  return attempt.execution === Execution.NotRun || attempt.idempotent;
}
