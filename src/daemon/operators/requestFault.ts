import type { FastifyError } from 'fastify';
import { createFault, Diagnostics, Fault } from '../../common/diagnostics/index.js';
import { MAXIMUM_BODY_BYTES } from './bodyLimit.js';
import { HttpStatus } from './httpStatus.js';

/** Converts any error of a request to a fault. */
export function createRequestFault(cause: unknown, peer: string): Fault {
  if (cause instanceof Fault) {
    return cause;
  }
  const problem = cause instanceof Error ? cause.message : String(cause);
  const status = getClientStatus(cause);
  const context = { step: 'http.request', peer };
  if (status === HttpStatus.ContentTooLarge) {
    return createFault(Diagnostics.BodyTooLarge, { limit: MAXIMUM_BODY_BYTES }, context);
  }
  return status === undefined
    ? createFault(Diagnostics.RequestFailed, { problem }, context)
    : createFault(Diagnostics.RequestInvalid, { problem }, context);
}

function getClientStatus(cause: unknown): number | undefined {
  const status = (cause as Partial<FastifyError> | undefined)?.statusCode;
  return status !== undefined && status < 500 ? status : undefined;
}
