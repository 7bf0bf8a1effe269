import { createServer, type Server } from 'node:http';
import type { Socket } from 'node:net';
import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { tryDecodeText } from '../../common/decodeText.js';
import { createFault, Diagnostics } from '../../common/diagnostics/index.js';
import type { Logger } from '../../common/logging/index.js';
import { MAXIMUM_BODY_BYTES } from './bodyLimit.js';
import { createConnectionFault, answerAndClose } from './connectionFault.js';
import { createFaultAnswer, sendAnswer } from './httpAnswer.js';
import { createRequestFault } from './requestFault.js';

/** Time within which a request must be received completely, in milliseconds. */
export const REQUEST_TIMEOUT_MS = 10_000;

const JSON_TYPE = 'application/json';
const IDLE_TIMEOUT_MS = 60_000;
const TIMEOUT_CHECK_INTERVAL_MS = 500;
const MAXIMUM_PATH_PARAMETER_LENGTH = 256;
const MAXIMUM_SHOWN_PATH_LENGTH = 200;
const MAXIMUM_CONNECTIONS = 4_096;

/** Creates an HTTP server that limits its input, without routes. */
export function createHttpServer(logger: Logger, requestTimeoutMs: number): Server {
  const server = createServer({
    requestTimeout: requestTimeoutMs,
    headersTimeout: requestTimeoutMs,
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
  });
  server.maxConnections = MAXIMUM_CONNECTIONS;
  server.on('clientError', (cause: NodeJS.ErrnoException, socket: Socket) =>
    refuseConnection(logger, cause, socket),
  );
  return server;
}

/** Creates the routing of requests to a server, which answers all faults in one JSON format. */
export function createRouting(logger: Logger, server: Server): FastifyInstance {
  const sendFault = (
    cause: unknown,
    request: FastifyRequest,
    reply: FastifyReply,
  ): FastifyReply => {
    const fault = createRequestFault(cause, request.ip);
    logger.reportFault(fault, { request: request.id });
    return sendAnswer(reply, createFaultAnswer(fault));
  };
  const routing = Fastify({
    serverFactory: () => server,
    bodyLimit: MAXIMUM_BODY_BYTES,
    routerOptions: { maxParamLength: MAXIMUM_PATH_PARAMETER_LENGTH },
    frameworkErrors: (cause, request, reply) => {
      sendFault(cause, request, reply);
    },
    clientErrorHandler: () => undefined,
  });
  routing.setErrorHandler(sendFault);
  addJsonParser(routing);
  routing.setNotFoundHandler((request, reply) => {
    const subject = `${request.method} ${request.url.slice(0, MAXIMUM_SHOWN_PATH_LENGTH)}`;
    const fault = createFault(Diagnostics.NotFound, { subject }, { step: 'http.route' });
    return sendAnswer(reply, createFaultAnswer(fault));
  });
  return routing;
}

/** Parses JSON bodies; one that is not valid UTF-8 is refused, not read with characters replaced. */
function addJsonParser(routing: FastifyInstance): void {
  const parseJson = routing.getDefaultJsonParser('error', 'error');
  routing.removeContentTypeParser(JSON_TYPE);
  routing.addContentTypeParser<Buffer>(JSON_TYPE, { parseAs: 'buffer' }, (request, bytes, done) => {
    const text = tryDecodeText(bytes);
    if (text === undefined) {
      const problem = 'the body is not valid UTF-8';
      const context = { step: 'http.request', peer: request.ip };
      done(createFault(Diagnostics.RequestInvalid, { problem }, context));
      return;
    }
    void parseJson(request, text, done);
  });
}

function refuseConnection(logger: Logger, cause: NodeJS.ErrnoException, socket: Socket): void {
  if (cause.code === 'ECONNRESET' || socket.destroyed) {
    return;
  }
  const fault = createConnectionFault(cause, socket);
  logger.reportFault(fault);
  answerAndClose(cause, fault, socket);
}
