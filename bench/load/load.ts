import type { TimerService } from '../../src/common/timer/index.js';
import { SeededRandom } from '../experiment/seededRandom.js';
import { AccountLoad } from './accountLoad.js';
import type { AccountReport } from './accountStatistics.js';
import { LoadSession } from './loadSession.js';
import type { LoadAccount, LoadSettings } from './loadSettings.js';
import { LOAD_TABLES, PlainStatement, SESSIONS_TABLE } from './loadStatements.js';
import { COUNTERS_TABLE, WriteHistory } from './writeHistory.js';

/** What a load saw. */
export interface LoadReport {
  readonly seed: number;
  readonly durationMs: number;
  readonly accounts: readonly AccountReport[];
}

/** Requests of several accounts against one or more servers. */
export class Load {
  readonly history = new WriteHistory();
  private readonly sessions: LoadSession[] = [];
  private readonly accounts: AccountLoad[] = [];

  constructor(private readonly settings: LoadSettings) {
    settings.accounts.forEach((account, index) => {
      const first = this.sessions.length;
      const sessions = Array.from({ length: account.sessions }, (_, place) =>
        this.createSession(account, first + place, settings.roamAfter),
      );
      this.sessions.push(...sessions);
      const random = new SeededRandom(settings.seed + index);
      this.accounts.push(new AccountLoad(account, sessions, settings, this.history, random));
    });
  }

  /** Creates the tables and rows that the statements need, and connects all sessions. */
  async prepare(): Promise<void> {
    const [account] = this.settings.accounts;
    if (account === undefined) {
      throw new RangeError('a load needs at least one account');
    }
    const session = this.createSession(account, 0, undefined);
    for (const text of [...LOAD_TABLES, ...this.getRowTexts()]) {
      await runOrThrow(session, text);
    }
    await session.end();
    await Promise.all(this.sessions.map((session) => session.connect()));
  }

  /** Runs for the set duration, then waits for what is under way. */
  async run(): Promise<LoadReport> {
    const { timer, durationMs, drainMs, seed } = this.settings;
    const beganMs = timer.now();
    this.accounts.forEach((account) => account.start());
    await wait(timer, durationMs);
    this.accounts.forEach((account) => account.stop());
    const tookMs = timer.now() - beganMs;
    await Promise.race([this.waitForIdle(), wait(timer, drainMs)]);
    this.sessions.forEach((session) => session.abandon());
    await this.waitForIdle();
    await Promise.all(this.sessions.map((session) => session.end()));
    const accounts = this.accounts.map(({ statistics }) => statistics.getReport());
    return { seed, durationMs: tookMs, accounts };
  }

  private async waitForIdle(): Promise<void> {
    await Promise.all(this.accounts.map((account) => account.waitForIdle()));
  }

  private createSession(
    { name, key }: LoadAccount,
    number: number,
    roamAfter: number | undefined,
  ): LoadSession {
    const { targets, database, timer, requestTimeoutMs } = this.settings;
    return new LoadSession({
      account: name,
      key,
      targets,
      database,
      timer,
      roamAfter,
      requestTimeoutMs,
      number,
    });
  }

  private getRowTexts(): string[] {
    const insert = (table: string, id: string): string =>
      `INSERT INTO ${table} VALUES ('${id}', 0) ON CONFLICT DO NOTHING`;
    const counters = this.settings.accounts.map(({ name }) => insert(COUNTERS_TABLE, name));
    const rows = this.sessions.map(({ memory }) => insert(SESSIONS_TABLE, memory.id));
    return [...counters, ...rows];
  }
}

/** Creates a load that has not begun. */
export function createLoad(settings: LoadSettings): Load {
  return new Load(settings);
}

async function runOrThrow(session: LoadSession, text: string): Promise<void> {
  const end = await session.run(new PlainStatement('prepare', text), text);
  if (end !== undefined) {
    const reason = 'code' in end ? end.code : end.promise;
    throw new Error(`cannot prepare the load: ${text}: ${reason}`);
  }
}

function wait(timer: TimerService, durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    timer.once(durationMs, () => resolve());
  });
}
