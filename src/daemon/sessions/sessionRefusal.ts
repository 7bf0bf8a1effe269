import { Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';

/** Reason of a refusal as it is reported to the caller. */
export enum SessionRefusal {
  /** The statement had no effect and may be retried. */
  Busy = 'busy',
  /** The transaction was rolled back and had no effect. */
  Aborted = 'aborted',
  /** The outcome is unknown: the statement may have been run. */
  Unknown = 'unknown',
  /** The statement timed out; its outcome is unknown. */
  Timeout = 'timeout',
  KeyInvalid = 'key-invalid',
  RouteUnknown = 'route-unknown',
  Malformed = 'malformed',
  StatementUnknown = 'statement-unknown',
  /** The session would keep too much; it had no effect. */
  TooLarge = 'too-large',
}

const REFUSALS_BY_CODE: ReadonlyMap<number, SessionRefusal> = new Map([
  [Diagnostics.KeyWithdrawn.code, SessionRefusal.KeyInvalid],
  [Diagnostics.KeyRefused.code, SessionRefusal.KeyInvalid],
  [Diagnostics.RouteUnknown.code, SessionRefusal.RouteUnknown],
  [Diagnostics.RouteForbidden.code, SessionRefusal.RouteUnknown],
  [Diagnostics.MessageMalformed.code, SessionRefusal.Malformed],
  [Diagnostics.TransactionFailed.code, SessionRefusal.Malformed],
  [Diagnostics.StatementUnknown.code, SessionRefusal.StatementUnknown],
  [Diagnostics.SessionStateTooLarge.code, SessionRefusal.TooLarge],
  [Diagnostics.TransactionLost.code, SessionRefusal.Aborted],
]);

/**
 * Maps a fault to the reported reason. Reasons that imply that the statement had no effect are used
 * only for faults with `Execution.NotRun`.
 */
export function getSessionRefusal({ diagnostic, execution }: Fault): SessionRefusal {
  if (execution !== Execution.NotRun) {
    return diagnostic.code === Diagnostics.StatementTimeout.code
      ? SessionRefusal.Timeout
      : SessionRefusal.Unknown;
  }
  return REFUSALS_BY_CODE.get(diagnostic.code) ?? SessionRefusal.Busy;
}
