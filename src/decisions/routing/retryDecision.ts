import { Execution } from '../../common/diagnostics/index.js';

/** What is known of a request whose attempt failed. */
export interface FailedAttempt {
  readonly execution: Execution;
  /** A read, or the caller declared the request idempotent. */
  readonly idempotent: boolean;
  /** Part of an answer has already gone to the caller. */
  readonly answered: boolean;
  readonly inTransaction: boolean;
  readonly nowMs: number;
  readonly deadlineMs: number;
}

/** Tells whether a failed request may be tried again. */
export function mayRetry(attempt: FailedAttempt): boolean {
  if (attempt.answered || attempt.inTransaction || attempt.nowMs >= attempt.deadlineMs) {
    return false;
  }
  return attempt.execution === Execution.NotRun || attempt.idempotent;
}
