import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { ResultAsync } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { splitAddress, type Address } from '../../common/settings/index.js';
import type { BearerTokens } from './bearerTokens.js';
import { MAXIMUM_BODY_BYTES } from './bodyLimit.js';
import { createFaultAnswer, createNotFoundAnswer, type HttpAnswer } from './httpAnswer.js';
import { HttpStatus } from './httpStatus.js';
import { OperatorRequests } from './operatorRequests.js';
import type { OperatorServerOptions } from './operatorServerOptions.js';
import { createRequestFault } from './requestFault.js';

const REQUEST_TIMEOUT_MS = 10_000;
const IDLE_TIMEOUT_MS = 60_000;
const CLOSE_LIMIT_MS = 5_000;
const MAXIMUM_PATH_PARAMETER_LENGTH = 256;

/** The HTTP interface of one daemon: operators, announcements, metrics and health. */
export class OperatorServer {
  private readonly server: FastifyInstance;
  private readonly requests: OperatorRequests;

  constructor(private readonly options: OperatorServerOptions) {
    this.requests = new OperatorRequests(options.control, options.parseTicket);
    this.server = Fastify({
      bodyLimit: MAXIMUM_BODY_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      routerOptions: { maxParamLength: MAXIMUM_PATH_PARAMETER_LENGTH },
      forceCloseConnections: 'idle',
      frameworkErrors: (cause, request, reply) => {
        this.sendFault(cause, request, reply);
      },
    });
    this.server.setErrorHandler((cause, request, reply) => this.sendFault(cause, request, reply));
    this.server.setNotFoundHandler((request, reply) =>
      send(reply, createNotFoundAnswer(`${request.method} ${request.url}`, 'http.route')),
    );
    this.addOpenRoutes();
    this.addProtectedRoutes(options.operatorTokens, (scope) => this.addOperatorRoutes(scope));
    this.addProtectedRoutes(options.announcerTokens, (scope) => this.addAnnouncerRoutes(scope));
  }

  /** Binds the address of the settings; the value is the address that was bound. */
  start(): ResultAsync<Address, Fault> {
    const listen = this.options.listen;
    const bound = this.server.listen(splitAddress(listen)).then(() => this.getBoundAddress());
    return ResultAsync.fromPromise(bound, (cause) =>
      createFault(
        Diagnostics.RequestFailed,
        { problem: String(cause) },
        { step: 'operators.listen', peer: listen },
      ),
    );
  }

  /** Stops listening and waits for running requests, at most for a fixed time. */
  async close(): Promise<void> {
    const cancel = this.options.timer.once(CLOSE_LIMIT_MS, () =>
      this.server.server.closeAllConnections(),
    );
    await this.server.close();
    cancel();
  }

  private addOpenRoutes(): void {
    const { metrics, readiness } = this.options;
    this.server.get('/healthz', (_request, reply) => reply.send({ status: 'running' }));
    this.server.get('/readyz', (_request, reply) => {
      const report = readiness.read();
      const isReady = report.hasLease && report.hasCurrentConfiguration;
      const status = isReady ? HttpStatus.Ok : HttpStatus.ServiceUnavailable;
      return reply.status(status).send({ isReady, ...report });
    });
    this.server.get('/metrics', async (_request, reply) => {
      const page = await metrics.format();
      return reply.type(metrics.registry.contentType).send(page);
    });
  }

  private addProtectedRoutes(
    tokens: BearerTokens | undefined,
    addRoutes: (scope: FastifyInstance) => void,
  ): void {
    this.server.register((scope, _options, done) => {
      scope.addHook('onRequest', (request, reply, next) => {
        if (tokens === undefined || tokens.isAuthorized(request.headers.authorization)) {
          next();
          return;
        }
        const context = { step: 'http.authorize', peer: request.ip };
        const fault = createFault(Diagnostics.TokenNeeded, {}, context);
        this.options.logger.reportFault(fault, { request: request.id });
        send(reply.header('www-authenticate', 'Bearer'), createFaultAnswer(fault));
      });
      addRoutes(scope);
      done();
    });
  }

  private addOperatorRoutes(scope: FastifyInstance): void {
    const requests = this.requests;
    scope.post('/tickets', async (request, reply) => {
      const answer = await requests.submitTicket(request.body);
      this.reportTicket(request, answer);
      return send(reply, answer);
    });
    scope.get<{ Params: { number: string } }>('/tickets/:number', async (request, reply) =>
      send(reply, await requests.readTicket(request.params.number)),
    );
    scope.get('/in-force', async (_request, reply) => send(reply, await requests.readAllInForce()));
    scope.get<{ Params: { '*': string } }>('/in-force/*', async (request, reply) =>
      send(reply, await requests.readInForce(request.params['*'])),
    );
    scope.get('/status', async (_request, reply) => send(reply, await requests.readStatus()));
  }

  private addAnnouncerRoutes(scope: FastifyInstance): void {
    scope.post('/announcements', (request, reply) =>
      send(reply, this.requests.announce(request.body)),
    );
  }

  private reportTicket(request: FastifyRequest, answer: HttpAnswer): void {
    const number = (request.body as { number?: unknown } | null | undefined)?.number;
    const ticket = typeof number === 'number' ? number : undefined;
    const outcome = answer.status === HttpStatus.Ok ? 'accepted' : `answered ${answer.status}`;
    this.options.logger.report(
      Diagnostics.TicketAnswered,
      { number: ticket ?? 'without number', outcome },
      { step: 'ticket.submit', peer: request.ip, request: request.id, ticket },
    );
  }

  private sendFault(cause: unknown, request: FastifyRequest, reply: FastifyReply): FastifyReply {
    const fault = createRequestFault(cause, request.ip);
    this.options.logger.reportFault(fault, { request: request.id });
    return send(reply, createFaultAnswer(fault));
  }

  private getBoundAddress(): Address {
    const bound = this.server.server.address();
    return bound === null || typeof bound === 'string'
      ? splitAddress(this.options.listen)
      : { host: bound.address, port: bound.port };
  }
}

function send(reply: FastifyReply, answer: HttpAnswer): FastifyReply {
  if (answer.retryAfterMs !== undefined) {
    reply.header('retry-after', Math.max(1, Math.ceil(answer.retryAfterMs / 1_000)));
  }
  return reply.status(answer.status).send(answer.body);
}
