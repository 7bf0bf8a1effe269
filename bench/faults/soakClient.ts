import { TransactionStatus } from '../../src/daemon/requests/index.js';
import type { RandomSource } from '../../src/common/random.js';
import { DATABASES, STALENESS_MS } from '../lines/lineConfiguration.js';
import { LineClient } from '../lines/lineClient.js';
import type { FaultFleet } from './faultFleet.js';

const PAUSE_MS = 25;
const WRITE_SHARE = 0.45;
const TRANSACTION_SHARE = 0.3;
/** Codes that promise that nothing of the attempt is kept. */
const PROMISES = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MOVED', 'TOOMANY']);

/** What became of a write. */
export enum WriteFate {
  Acknowledged = 'acknowledged',
  NotRun = 'not run',
  Unknown = 'unknown',
}

/** One write of a caller. */
export interface SoakWrite {
  readonly count: number;
  readonly fate: WriteFate;
  readonly atMs: number;
}

/** The consistency of the databases that soak clients use. */
export type SoakDatabase = 'latest' | 'bounded' | 'session';

/** A caller that writes rising counts to an item of its own and checks what it reads. */
export class SoakClient {
  readonly writes: SoakWrite[] = [];
  readonly violations: string[] = [];
  served = 0;
  private count = 0;
  private client: LineClient | undefined;
  /** Writes of the present session. */
  private sessionFrom = 0;
  private stopped = false;

  constructor(
    readonly item: string,
    private readonly database: SoakDatabase,
    private readonly key: string,
    private readonly fleet: FaultFleet,
    private readonly random: RandomSource,
  ) {}

  /** Works until it is stopped. */
  async run(): Promise<void> {
    while (!this.stopped) {
      const client = await this.connect();
      if (client !== undefined) {
        await (this.random.next() < WRITE_SHARE ? this.write(client) : this.read(client));
      }
      await this.fleet.sleep(PAUSE_MS * this.random.next() * 2);
    }
    this.client?.close();
  }

  stop(): void {
    this.stopped = true;
  }

  private async connect(): Promise<LineClient | undefined> {
    if (this.client?.isClosed === false) {
      return this.client;
    }
    const { entries, group, timer } = this.fleet;
    const entry = entries[Math.floor(this.random.next() * entries.length)];
    const database = `${DATABASES[this.database]}-${group.options.service}`;
    const name = `${this.item}-${timer.now().toFixed(0)}`;
    const address = entry?.frontend ?? '';
    const client = await LineClient.open(address, database, this.key, name, timer);
    this.client = client;
    this.sessionFrom = this.writes.length;
    return client.isClosed ? undefined : client;
  }

  private async write(client: LineClient): Promise<void> {
    this.count += 1;
    const { count } = this;
    const isTransaction = this.random.next() < TRANSACTION_SHARE;
    const texts = isTransaction
      ? ['BEGIN', `PUT ${this.item} ${count}`, `PUT ${this.item}-twin ${count}`, 'COMMIT']
      : [`PUT ${this.item} ${count}`];
    let fate = WriteFate.Acknowledged;
    for (const [index, text] of texts.entries()) {
      const { reply } = await client.query(text);
      if (reply?.error === undefined && reply !== undefined) {
        continue;
      }
      const isPromise = reply?.error !== undefined && PROMISES.has(reply.error);
      const isCommit = index === texts.length - 1;
      // Without its commit a transaction leaves nothing.
      fate = isPromise || !isCommit ? WriteFate.NotRun : WriteFate.Unknown;
      client.close();
      break;
    }
    this.served += fate === WriteFate.Acknowledged ? 1 : 0;
    this.writes.push({ count, fate, atMs: this.fleet.timer.now() });
  }

  private async read(client: LineClient): Promise<void> {
    const startMs = this.fleet.timer.now();
    const least = this.getLeast(startMs);
    const { reply } = await client.query(`FETCH ${this.item}`);
    if (reply === undefined || reply.error !== undefined) {
      if (reply?.status !== TransactionStatus.Idle) {
        client.close();
      }
      return;
    }
    this.served += 1;
    const read = Number(reply.rows[0] ?? 0);
    if (read < least || read > this.count) {
      this.violations.push(
        `${this.item} (${this.database}): read ${read}, wanted ${least} or more`,
      );
    }
  }

  /** The least count that a read which begins now may see. */
  private getLeast(nowMs: number): number {
    const counts = this.writes.map(({ count, fate, atMs }, index) => {
      const isOld = atMs <= nowMs - STALENESS_MS;
      const isOwn = this.database === 'session' && index >= this.sessionFrom;
      const isWanted = isOld || isOwn || this.database === 'latest';
      return fate === WriteFate.Acknowledged && isWanted ? count : 0;
    });
    return Math.max(0, ...counts);
  }
}
