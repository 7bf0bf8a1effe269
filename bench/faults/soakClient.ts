import type { LineReply } from '../../platform/lines/lineReply.js';
import type { RandomSource } from '../../src/common/random.js';
import { TransactionStatus } from '../../src/daemon/requests/index.js';
import { DATABASES, STALENESS_MS } from '../lines/lineConfiguration.js';
import { OWNER } from './backendWatch.js';
import type { CallerLedger } from './callerLedger.js';
import { CallerSession } from './callerSession.js';
import type { FaultFleet } from './faultFleet.js';

const WRITE_SHARE = 0.45;
const TRANSACTION_SHARE = 0.4;
/** Longest pause between two statements of a transaction. */
const THINKING_MS = 250;
/** Share of transactions whose caller leaves in their middle. */
const LEAVING_SHARE = 0.03;
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

/** Who a caller is and how fast it asks. */
export interface CallerPlan {
  /** The item that it alone writes. */
  readonly item: string;
  readonly database: SoakDatabase;
  readonly key: string;
  readonly account: string;
  /** Mean pause between two operations, in milliseconds. */
  readonly pauseMs: number;
  /** Only single statements. */
  readonly isPlain?: boolean;
}

/** A caller that writes rising counts to an item of its own and checks what it reads. */
export class SoakClient {
  readonly writes: SoakWrite[] = [];
  served = 0;
  private count = 0;
  private session: CallerSession | undefined;
  /** Writes of the present session. */
  private sessionFrom = 0;
  private sessions = 0;
  private stopped = false;

  constructor(
    readonly plan: CallerPlan,
    private readonly fleet: FaultFleet,
    private readonly ledger: CallerLedger,
    private readonly random: RandomSource,
  ) {}

  /** Works until it is stopped. */
  async run(): Promise<void> {
    while (!this.stopped) {
      const session = await this.connect();
      if (session !== undefined) {
        await (this.random.next() < WRITE_SHARE ? this.write(session) : this.read(session));
        await this.endTransaction(session);
      }
      await this.pause(this.plan.pauseMs * 2);
    }
    this.session?.close();
  }

  stop(): void {
    this.stopped = true;
  }

  /** The connection is kept for as long as the daemon keeps it. */
  private async connect(): Promise<CallerSession | undefined> {
    if (this.session?.isClosed === false) {
      return this.session;
    }
    const { entries, group, timer } = this.fleet;
    const entry = entries[Math.floor(this.random.next() * entries.length)];
    const { item, key, account } = this.plan;
    this.sessions += 1;
    const target = {
      ...{ node: entry?.node ?? '', address: entry?.frontend ?? '', item, key, account },
      database: `${DATABASES[this.plan.database]}-${group.options.service}`,
      name: `${item}-${this.sessions}`,
    };
    const session = await CallerSession.open(target, this.ledger, timer);
    this.session = session;
    this.sessionFrom = this.writes.length;
    const reply = await session.ask(`SET ${OWNER} ${item}`);
    return reply === undefined ? undefined : session;
  }

  private async write(session: CallerSession): Promise<void> {
    const { item, isPlain = false } = this.plan;
    this.count += 1;
    const { count } = this;
    const isTransaction = !isPlain && this.random.next() < TRANSACTION_SHARE;
    const texts = isTransaction
      ? ['BEGIN', `PUT ${item} ${count}`, `PUT ${item}-twin ${count}`, 'COMMIT']
      : [`PUT ${item} ${count}`];
    const fate = await this.runAll(session, texts);
    this.served += fate === WriteFate.Acknowledged ? 1 : 0;
    this.writes.push({ count, fate, atMs: this.fleet.timer.now() });
  }

  private async runAll(session: CallerSession, texts: readonly string[]): Promise<WriteFate> {
    for (const [index, text] of texts.entries()) {
      if (index > 0) {
        if (this.random.next() < LEAVING_SHARE) {
          session.close();
        }
        await this.pause(THINKING_MS);
      }
      const reply = await session.ask(text);
      if (reply?.error === undefined && reply !== undefined) {
        continue;
      }
      const isPromise = reply?.error !== undefined && PROMISES.has(reply.error);
      const isCommit = index === texts.length - 1;
      // Without its commit a transaction leaves nothing.
      return isPromise || !isCommit || !this.wasSent(text, reply, session)
        ? WriteFate.NotRun
        : WriteFate.Unknown;
    }
    return WriteFate.Acknowledged;
  }

  /** A statement that its caller never sent, as the connection was over, was not run. */
  private wasSent(text: string, reply: LineReply | undefined, session: CallerSession): boolean {
    return reply !== undefined || session.lastText === text;
  }

  private async read(session: CallerSession): Promise<void> {
    const { item, database } = this.plan;
    const least = this.getLeast(this.fleet.timer.now());
    const reply = await session.ask(`FETCH ${item}`);
    if (reply === undefined || reply.error !== undefined) {
      return;
    }
    this.served += 1;
    const read = Number(reply.rows[0] ?? 0);
    if (read < least || read > this.count) {
      this.ledger.fail(`${session.lastId} (${database}): read ${read}, wanted ${least} or more`);
    }
  }

  private async endTransaction(session: CallerSession): Promise<void> {
    if (!session.isClosed && session.status !== TransactionStatus.Idle) {
      const reply = await session.ask('ROLLBACK');
      if (reply?.status !== TransactionStatus.Idle) {
        session.close();
      }
    }
  }

  private pause(longestMs: number): Promise<void> {
    return this.fleet.sleep(longestMs * this.random.next());
  }

  /** The least count that a read which begins now may see. */
  private getLeast(nowMs: number): number {
    const { database } = this.plan;
    const counts = this.writes.map(({ count, fate, atMs }, index) => {
      const isOld = atMs <= nowMs - STALENESS_MS;
      const isOwn = database === 'session' && index >= this.sessionFrom;
      const isWanted = isOld || isOwn || database === 'latest';
      return fate === WriteFate.Acknowledged && isWanted ? count : 0;
    });
    return Math.max(0, ...counts);
  }
}
