import type { AddressInfo } from 'node:net';
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { z } from 'zod';
import { DiagnosticCategory, Fault } from '../../src/common/diagnostics/index.js';
import { toLogPosition, toTerm } from '../../src/common/ids/index.js';
import type { TimerService } from '../../src/common/timer/index.js';
import type { Engine } from '../instance/engine.js';
import { faultChangeSchema, type FaultChange, type Faults } from '../instance/faults.js';
import type { InstanceStatus } from '../instance/instanceStatus.js';
import type { PromotionOrder } from '../instance/promotionOrder.js';
import type { TermStart } from '../log/index.js';
import { encodeRecordLine, HEARTBEAT_LINE, type ReplicationState } from '../replication/index.js';

const BAD_REQUEST = 400;
const CONFLICT = 409;
const INTERNAL_ERROR = 500;
const HEARTBEAT_INTERVAL_MS = 100;

/** The paths that tests use; they answer whatever fault is set. */
const TEST_PATHS = ['/status', '/faults', '/received', '/log', '/silence'];

/** What the HTTP server asks of its instance. */
export interface HttpServerParts {
  readonly engine: Engine;
  readonly faults: Faults;
  readonly timer: TimerService;
  readonly promote: (order: PromotionOrder) => Promise<TermStart | undefined>;
  readonly changeFaults: (change: FaultChange) => void;
  readonly silence: () => void;
  readonly lookAtPeers: () => void;
  readonly getState: () => ReplicationState;
  readonly getStatus: () => InstanceStatus;
  readonly countReceived: (text: string) => { readonly count: number; readonly complete: boolean };
}

const promotionSchema = z.object({
  group: z.string(),
  instance: z.string(),
  term: z.int().min(1),
});
const streamSchema = z.object({ after: z.coerce.number(), term: z.coerce.number() });
const receivedSchema = z.object({ contains: z.string().min(1) });
const logSchema = z.object({ after: z.coerce.number().default(0) });

/** The platform's, the peers' and the tests' HTTP interface of an instance. */
export class HttpServer {
  private readonly server: FastifyInstance = fastify({ forceCloseConnections: true });
  private readonly streams = new Set<FastifyReply>();

  constructor(private readonly parts: HttpServerParts) {
    this.server.addHook('onRequest', async (request, reply) => this.refuseCutOff(request, reply));
    this.server.setErrorHandler(async (cause, _request, reply) => answerError(cause, reply));
    this.addReplication();
    this.addPlatform();
    this.addTests();
  }

  /** The port that the server listens on. */
  get port(): number {
    return (this.server.server.address() as AddressInfo).port;
  }

  /** Begins to listen. */
  async listen(host: string, port: number): Promise<void> {
    await this.server.listen({ host, port });
  }

  /** Ends all streams and stops listening. */
  async close(): Promise<void> {
    this.endStreams();
    await this.server.close();
  }

  /** Ends all replication streams. */
  endStreams(): void {
    for (const reply of this.streams) {
      reply.raw.destroy();
    }
  }

  private refuseCutOff(request: FastifyRequest, reply: FastifyReply): void {
    const { faults } = this.parts;
    const isForTests = TEST_PATHS.some((path) => request.url.startsWith(path));
    const isForPlatform = request.url.startsWith('/promote');
    const isCutOff = faults.cutOff || (faults.platformCutOff && isForPlatform);
    if (isCutOff && !isForTests) {
      reply.hijack();
      request.raw.socket.destroy();
    }
  }

  private addReplication(): void {
    this.server.get('/replication/state', () => this.parts.getState());
    this.server.post('/replication/notice', async () => {
      this.parts.lookAtPeers();
      return Promise.resolve({});
    });
    this.server.get('/replication/stream', async (request, reply) => {
      const { after, term } = streamSchema.parse(request.query);
      const { engine } = this.parts;
      if (engine.isReplica || engine.log.highestTerm !== term) {
        return reply.code(CONFLICT).send({ message: 'not the primary of that term' });
      }
      reply.hijack();
      this.stream(after, reply);
      return reply;
    });
  }

  private stream(after: number, reply: FastifyReply): void {
    const { engine, timer } = this.parts;
    const { raw } = reply;
    this.streams.add(reply);
    raw.writeHead(200, { 'content-type': 'application/x-ndjson' });
    const { records } = engine.log;
    const first = engine.log.findFirstAfter(toLogPosition(after));
    for (let index = first; index < records.length; index += 1) {
      const record = records[index];
      if (record !== undefined) {
        raw.write(encodeRecordLine(record));
      }
    }
    raw.write(HEARTBEAT_LINE);
    const endRecords = engine.onRecord((record) => raw.write(encodeRecordLine(record)));
    const endHeartbeat = timer.subscribe(HEARTBEAT_INTERVAL_MS, () => raw.write(HEARTBEAT_LINE));
    raw.on('close', () => {
      endRecords();
      endHeartbeat();
      this.streams.delete(reply);
    });
  }

  private addPlatform(): void {
    this.server.post('/promote', async (request, reply) => {
      const { group, instance, term } = promotionSchema.parse(request.body);
      const start = await this.parts.promote({ group, instance, term: toTerm(term) });
      if (start === undefined) {
        reply.hijack();
        request.raw.socket.destroy();
        return reply;
      }
      return start;
    });
  }

  private addTests(): void {
    this.server.get('/status', () => this.parts.getStatus());
    this.server.get('/log', (request) => {
      const { after } = logSchema.parse(request.query);
      const { log } = this.parts.engine;
      const records = log.records.slice(log.findFirstAfter(toLogPosition(after)));
      return { history: log.history, records };
    });
    this.server.get('/received', (request) =>
      this.parts.countReceived(receivedSchema.parse(request.query).contains),
    );
    this.server.get('/faults', () => this.parts.faults);
    this.server.post('/faults', (request) => {
      this.parts.changeFaults(faultChangeSchema.parse(request.body));
      return this.parts.faults;
    });
    this.server.post('/silence', () => {
      this.parts.silence();
      return {};
    });
  }
}

async function answerError(cause: unknown, reply: FastifyReply): Promise<void> {
  const status =
    cause instanceof z.ZodError ? BAD_REQUEST : cause instanceof Fault ? CONFLICT : INTERNAL_ERROR;
  const message = cause instanceof Error ? cause.message : String(cause);
  const isPlatformFault =
    cause instanceof Fault && cause.diagnostic.category === DiagnosticCategory.Error;
  await reply.code(isPlatformFault ? INTERNAL_ERROR : status).send({ message });
}
