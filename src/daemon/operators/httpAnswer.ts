import type { FastifyReply } from 'fastify';
import type { Fault } from '../../common/diagnostics/index.js';
import { createFaultBody } from './faultBody.js';
import { getHttpStatus, HttpStatus } from './httpStatus.js';

/** An answer of the HTTP interface. */
export interface HttpAnswer {
  readonly status: HttpStatus;
  readonly body?: unknown;
  readonly retryAfterMs?: number;
}

const DEFAULT_RETRY_AFTER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Creates the answer for a success. */
export function createAnswer(body: unknown): HttpAnswer {
  return { status: HttpStatus.Ok, body };
}

/** Creates the answer for a fault; with status 503 it states when the client may retry. */
export function createFaultAnswer(fault: Fault, status = getHttpStatus(fault)): HttpAnswer {
  const answer = { status, body: createFaultBody(fault) };
  return status === HttpStatus.ServiceUnavailable
    ? { ...answer, retryAfterMs: fault.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS }
    : answer;
}

/** Sends an answer, with `retry-after` in whole seconds (at least 1) if a retry time is set. */
export function sendAnswer(reply: FastifyReply, answer: HttpAnswer): FastifyReply {
  if (answer.retryAfterMs !== undefined) {
    reply.header('retry-after', Math.max(1, Math.ceil(answer.retryAfterMs / MS_PER_SECOND)));
  }
  return reply.status(answer.status).send(answer.body);
}
