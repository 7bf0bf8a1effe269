import {
  DiagnosticCategory,
  Diagnostics,
  Execution,
  type Fault,
} from '../../common/diagnostics/index.js';

/** The HTTP status codes that the interface uses. */
export enum HttpStatus {
  Ok = 200,
  NoContent = 204,
  BadRequest = 400,
  Unauthorized = 401,
  NotFound = 404,
  RequestTimeout = 408,
  Conflict = 409,
  ContentTooLarge = 413,
  HeaderFieldsTooLarge = 431,
  InternalServerError = 500,
  ServiceUnavailable = 503,
  GatewayTimeout = 504,
}

const CANNOT_CONNECT_NOW = '57P03';

const STATUS_BY_DIAGNOSTIC: ReadonlyMap<number, HttpStatus> = new Map([
  [Diagnostics.RequestInvalid.code, HttpStatus.BadRequest],
  [Diagnostics.TicketInvalid.code, HttpStatus.BadRequest],
  [Diagnostics.NotControlLeader.code, HttpStatus.ServiceUnavailable],
  [Diagnostics.LeadershipTransferring.code, HttpStatus.ServiceUnavailable],
  [Diagnostics.TokenNeeded.code, HttpStatus.Unauthorized],
  [Diagnostics.NotFound.code, HttpStatus.NotFound],
  [Diagnostics.SubjectNotInForce.code, HttpStatus.NotFound],
  [Diagnostics.TicketNotInForce.code, HttpStatus.NotFound],
  [Diagnostics.BodyTooLarge.code, HttpStatus.ContentTooLarge],
]);

/**
 * Returns the status for a fault: the one listed for its diagnostic. For an unlisted diagnostic,
 * the status depends on whether the request may have been run and whether a retry may succeed.
 */
export function getHttpStatus(fault: Fault): HttpStatus {
  const listed = STATUS_BY_DIAGNOSTIC.get(fault.diagnostic.code);
  if (listed !== undefined) {
    return listed;
  }
  if (fault.execution === Execution.Unknown) {
    return HttpStatus.GatewayTimeout;
  }
  if (fault.retryAfterMs !== undefined || fault.diagnostic.sqlState === CANNOT_CONNECT_NOW) {
    return HttpStatus.ServiceUnavailable;
  }
  return fault.diagnostic.category === DiagnosticCategory.Refusal
    ? HttpStatus.Conflict
    : HttpStatus.InternalServerError;
}
