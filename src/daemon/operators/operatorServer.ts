import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { FastifyInstance, FastifyRequest } from 'fastify';
import { ResultAsync } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { formatAddress, splitAddress, type Address } from '../../common/settings/index.js';
import { HttpConnections } from '../clients/index.js';
import type { BearerTokens } from './bearerTokens.js';
import { MAXIMUM_BODY_BYTES } from './bodyLimit.js';
import { createHttpServer, createRouting, REQUEST_TIMEOUT_MS } from './createHttpServer.js';
import { createFaultAnswer, sendAnswer, type HttpAnswer } from './httpAnswer.js';
import { HttpStatus } from './httpStatus.js';
import { OperatorRequests } from './operatorRequests.js';
import type { OperatorServerOptions } from './operatorServerOptions.js';
import { GracefulShutdown } from './gracefulShutdown.js';
import { createRequestFault } from './requestFault.js';

const DEFAULT_CONNECTIONS = 256;
const CLOSE_LIMIT_MS = 5_000;

/** The HTTP interface of one daemon: operators, announcements, metrics and health. */
export class OperatorServer {
  private readonly server: Server;
  private readonly stopping: GracefulShutdown;
  private readonly requests: OperatorRequests;
  private readonly connections: HttpConnections | undefined;
  private routing: Promise<FastifyInstance> | undefined;

  constructor(private readonly options: OperatorServerOptions) {
    this.requests = new OperatorRequests(options.control, options.parseTicket);
    const timeoutMs = options.requestTimeoutMs ?? REQUEST_TIMEOUT_MS;
    this.server = createHttpServer(options.logger, timeoutMs);
    this.server.on('request', (request, response) => {
      this.handle(request, response).catch((cause: unknown) => {
        options.logger.reportFault(createRequestFault(cause, request.socket.remoteAddress ?? ''));
        response.destroy();
      });
    });
    const { limits, maximumConnections = DEFAULT_CONNECTIONS } = options;
    this.connections = limits && new HttpConnections(this.server, limits, maximumConnections);
    this.stopping = new GracefulShutdown(this.server, options.timer, CLOSE_LIMIT_MS);
  }

  /** Binds the configured address; returns the address that was bound. */
  start(): ResultAsync<Address, Fault> {
    const listen = this.options.listen;
    const { host, port } = splitAddress(listen);
    const bound = new Promise<Address>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve(this.reportListening());
      });
    });
    return ResultAsync.fromPromise(bound, (cause) =>
      createFault(
        Diagnostics.RequestFailed,
        { problem: String(cause) },
        { step: 'operators.listen', peer: listen },
      ),
    );
  }

  /** Stops listening and waits for running requests, at most for a fixed time (5 s). */
  close(): Promise<void> {
    return this.stopping.stop();
  }

  /**
   * Creates the routes at the first request: loading their library blocks the event loop for longer
   * than a lease renewal of a small host can wait, and most hosts are never asked.
   */
  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { connections } = this;
    if ((await connections?.begin(request, response, MAXIMUM_BODY_BYTES)) === false) {
      return;
    }
    this.routing ??= this.createRouting();
    const instance = await this.routing;
    // A limit may have closed the connection while the routes were created.
    if (!request.socket.destroyed) {
      instance.routing(request, response);
    }
  }

  private async createRouting(): Promise<FastifyInstance> {
    const { options } = this;
    const routing = createRouting(options.logger, this.server);
    this.stopping.addRouting(routing);
    routing.addHook('onSend', (_request, reply, payload, done) => {
      const bytes = typeof payload === 'string' ? Buffer.byteLength(payload) : 0;
      this.connections?.recordAnswer(reply.raw, bytes);
      done(null, payload);
    });
    this.addOpenRoutes(routing);
    this.addProtectedRoutes(routing, options.operatorTokens, (scope) =>
      this.addOperatorRoutes(scope),
    );
    this.addProtectedRoutes(routing, options.announcerTokens, (scope) =>
      this.addAnnouncerRoutes(scope),
    );
    await routing.ready();
    return routing;
  }

  private addOpenRoutes(routing: FastifyInstance): void {
    const { metrics, readiness } = this.options;
    routing.get('/healthz', (_request, reply) => reply.send({ status: 'running' }));
    routing.get('/readyz', (_request, reply) => {
      const report = readiness.read();
      const isReady = report.hasLease && report.hasCurrentConfiguration && report.isInService;
      const status = isReady ? HttpStatus.Ok : HttpStatus.ServiceUnavailable;
      return reply.status(status).send({ isReady, ...report });
    });
    routing.get('/metrics', async (_request, reply) => {
      const page = await metrics.format();
      return reply.type(metrics.registry.contentType).send(page);
    });
  }

  private addProtectedRoutes(
    routing: FastifyInstance,
    tokens: BearerTokens | undefined,
    addRoutes: (scope: FastifyInstance) => void,
  ): void {
    routing.register((scope, _options, done) => {
      scope.addHook('onRequest', (request, reply, next) => {
        if (tokens === undefined || tokens.isAuthorized(request.headers.authorization)) {
          next();
          return;
        }
        const context = { step: 'http.authorize', peer: request.ip };
        const fault = createFault(Diagnostics.TokenNeeded, {}, context);
        this.options.logger.reportFault(fault, { request: request.id });
        // The request body was not read, so the connection can't be used for further requests.
        const challenge = reply.headers({ 'www-authenticate': 'Bearer', connection: 'close' });
        sendAnswer(challenge, createFaultAnswer(fault));
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
      return sendAnswer(reply, answer);
    });
    scope.get<{ Params: { number: string } }>('/tickets/:number', async (request, reply) =>
      sendAnswer(reply, await requests.readTicket(request.params.number)),
    );
    scope.get('/in-force', async (_request, reply) =>
      sendAnswer(reply, await requests.readAllInForce()),
    );
    scope.get<{ Params: { '*': string } }>('/in-force/*', async (request, reply) =>
      sendAnswer(reply, await requests.readInForce(request.params['*'])),
    );
    scope.get('/status', async (_request, reply) => sendAnswer(reply, await requests.readStatus()));
  }

  private addAnnouncerRoutes(scope: FastifyInstance): void {
    scope.post('/announcements', (request, reply) =>
      sendAnswer(reply, this.requests.announce(request.body)),
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

  private reportListening(): Address {
    const { logger, operatorTokens, announcerTokens } = this.options;
    const bound = this.getBoundAddress();
    const context = { step: 'operators.listen' };
    logger.report(Diagnostics.OperatorsListening, { address: formatAddress(bound) }, context);
    if (operatorTokens === undefined) {
      logger.report(Diagnostics.AccessUnprotected, { access: 'operators' }, context);
    }
    if (announcerTokens === undefined) {
      logger.report(Diagnostics.AccessUnprotected, { access: 'announcements' }, context);
    }
    return bound;
  }

  private getBoundAddress(): Address {
    const bound = this.server.address();
    return bound === null || typeof bound === 'string'
      ? splitAddress(this.options.listen)
      : { host: bound.address, port: bound.port };
  }
}
