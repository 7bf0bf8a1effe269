import pg from 'pg';
import type { TimerService } from '../../src/common/timer/index.js';

const PACE_MS = 5;
const RECONNECT_MS = 20;
const STATEMENT_TIMEOUT_MS = 10_000;

/** How one insert ended. */
export enum WriteResult {
  Acknowledged = 'acknowledged',
  NotRun = 'not run',
  Unknown = 'unknown',
}

/** One insert with its times. */
export interface WriteEvent {
  readonly id: number;
  readonly startMs: number;
  readonly endMs: number;
  readonly result: WriteResult;
  readonly code?: string;
}

/** Inserts rows one after another over one connection and notes how each ended. */
export class Writer {
  readonly events: WriteEvent[] = [];
  private running = true;
  private done: Promise<void> = Promise.resolve();

  constructor(
    private readonly config: pg.ClientConfig,
    private readonly table: string,
    private nextId: number,
    private readonly idStep: number,
    private readonly timer: TimerService,
  ) {}

  start(): void {
    this.done = this.loop();
  }

  async stop(): Promise<void> {
    this.running = false;
    await this.done;
  }

  private async loop(): Promise<void> {
    let client: pg.Client | undefined;
    while (this.running) {
      client ??= await this.connect();
      if (client === undefined) {
        await this.sleep(RECONNECT_MS);
      } else if (!(await this.write(client))) {
        void client.end().catch(() => undefined);
        client = undefined;
      }
    }
    await client?.end().catch(() => undefined);
  }

  private async connect(): Promise<pg.Client | undefined> {
    const client = new pg.Client({ ...this.config, connectionTimeoutMillis: 1000 });
    client.on('error', () => undefined);
    try {
      await client.connect();
      await client.query(`SET statement_timeout = ${STATEMENT_TIMEOUT_MS}`);
      return client;
    } catch {
      await client.end().catch(() => undefined);
      return undefined;
    }
  }

  /** Inserts one row; false when the connection is of no use any more. */
  private async write(client: pg.Client): Promise<boolean> {
    const id = this.nextId;
    this.nextId += this.idStep;
    const startMs = this.timer.now();
    try {
      await client.query(`INSERT INTO ${this.table} VALUES (${id})`);
      this.note({ id, startMs, endMs: this.timer.now(), result: WriteResult.Acknowledged });
      await this.sleep(PACE_MS);
      return true;
    } catch (error) {
      const { code, detail } = error as { readonly code?: string; readonly detail?: string };
      const isNotRun = detail?.startsWith('not run') === true;
      const result = isNotRun ? WriteResult.NotRun : WriteResult.Unknown;
      const event = { id, startMs, endMs: this.timer.now(), result };
      this.note(code === undefined ? event : { ...event, code });
      await this.sleep(PACE_MS);
      return code !== undefined;
    }
  }

  private note(event: WriteEvent): void {
    this.events.push(event);
  }

  private sleep(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.timer.once(durationMs, () => resolve());
    });
  }
}
