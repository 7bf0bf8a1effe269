import { Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';

/** What a refused caller is told. */
export enum SessionRefusal {
  /** Nothing of the attempt is kept; it may be made again. */
  Busy = 'busy',
  /** The transaction was rolled back; nothing of the attempt is kept. */
  Aborted = 'aborted',
  /** Nothing is promised. */
  Unknown = 'unknown',
  /** The statement took too long; nothing is promised. */
  Timeout = 'timeout',
  KeyInvalid = 'key-invalid',
  RouteUnknown = 'route-unknown',
  Malformed = 'malformed',
  StatementUnknown = 'statement-unknown',
}

const REFUSALS_BY_CODE: ReadonlyMap<number, SessionRefusal> = new Map([
  [Diagnostics.KeyWithdrawn.code, SessionRefusal.KeyInvalid],
  [Diagnostics.KeyRefused.code, SessionRefusal.KeyInvalid],
  [Diagnostics.RouteUnknown.code, SessionRefusal.RouteUnknown],
  [Diagnostics.RouteForbidden.code, SessionRefusal.RouteUnknown],
  [Diagnostics.MessageMalformed.code, SessionRefusal.Malformed],
  [Diagnostics.TransactionFailed.code, SessionRefusal.Malformed],
  [Diagnostics.StatementUnknown.code, SessionRefusal.StatementUnknown],
  [Diagnostics.TransactionLost.code, SessionRefusal.Aborted],
]);

/** What a caller is told of a fault; "not run" only where that is true. */
export function getSessionRefusal({ diagnostic, execution }: Fault): SessionRefusal {
  if (execution !== Execution.NotRun) {
    return diagnostic.code === Diagnostics.StatementTimeout.code
      ? SessionRefusal.Timeout
      : SessionRefusal.Unknown;
  }
  return REFUSALS_BY_CODE.get(diagnostic.code) ?? SessionRefusal.Busy;
}
