import type { SeededRandom } from '../experiment/seededRandom.js';
import { AccountStatistics } from './accountStatistics.js';
import { LoadOutcome } from './loadOutcome.js';
import type { LoadSession, RequestEnd } from './loadSession.js';
import type { LoadAccount, LoadSettings } from './loadSettings.js';
import { LoadViolation, LogTrace, type LoadStatement } from './loadStatement.js';
import type { WriteHistory } from './writeHistory.js';

const MS_PER_SECOND = 1000;
const ARRIVAL_TICK_MS = 1;

interface Arrived {
  readonly statement: LoadStatement;
  readonly id: string;
  readonly atMs: number;
}

/** The requests of one account. */
export class AccountLoad {
  readonly statistics: AccountStatistics;
  private readonly idle: LoadSession[];
  private readonly waiting: Arrived[] = [];
  private underWay = 0;
  private nextNumber = 0;
  private nextArrivalMs = 0;
  private isArriving = false;
  private endArrivals: (() => void) | undefined;
  private readonly idleHandlers = new Set<() => void>();

  constructor(
    private readonly account: LoadAccount,
    private readonly sessions: readonly LoadSession[],
    private readonly settings: LoadSettings,
    private readonly history: WriteHistory,
    private readonly random: SeededRandom,
  ) {
    this.statistics = new AccountStatistics(account.name);
    this.idle = [...sessions];
  }

  /** Lets requests arrive. */
  start(): void {
    const { timer } = this.settings;
    const nowMs = timer.now();
    this.isArriving = true;
    this.statistics.begin(nowMs);
    if (this.account.arrival.kind === 'closed') {
      this.sessions.forEach(() => this.arrive(nowMs));
      return;
    }
    this.nextArrivalMs = nowMs + this.drawGapMs(this.account.arrival.ratePerSecond);
    this.endArrivals = timer.subscribe(ARRIVAL_TICK_MS, (tickMs) => this.arriveUntil(tickMs));
  }

  /** Lets no more requests arrive and drops those that wait for a session of the load. */
  stop(): void {
    this.isArriving = false;
    this.endArrivals?.();
    this.statistics.end(this.settings.timer.now());
    for (const { id } of this.waiting.splice(0)) {
      this.history.end(id, LoadOutcome.Unsent);
      this.statistics.fail(LoadOutcome.Unsent, LoadOutcome.Unsent);
    }
  }

  /** Resolves when no request is under way. */
  waitForIdle(): Promise<void> {
    return new Promise((resolve) => {
      if (this.underWay === 0) {
        resolve();
      } else {
        this.idleHandlers.add(resolve);
      }
    });
  }

  private arriveUntil(nowMs: number): void {
    const { arrival } = this.account;
    while (arrival.kind === 'open' && this.nextArrivalMs <= nowMs) {
      this.arrive(this.nextArrivalMs);
      this.nextArrivalMs += this.drawGapMs(arrival.ratePerSecond);
    }
  }

  private arrive(atMs: number): void {
    const statement = this.chooseStatement();
    const id = `${this.account.name}-${this.nextNumber}`;
    this.nextNumber += 1;
    this.statistics.arrive();
    this.note(statement, id);
    this.waiting.push({ statement, id, atMs });
    this.dispatch();
  }

  private note({ trace }: LoadStatement, id: string): void {
    if (trace !== LogTrace.None) {
      const counter = trace === LogTrace.CountedEntry ? this.account.name : undefined;
      this.history.begin(id, counter);
    }
  }

  private dispatch(): void {
    while (this.waiting.length > 0) {
      const session = this.idle.pop();
      if (session === undefined) {
        return;
      }
      const arrived = this.waiting.shift();
      if (arrived !== undefined) {
        void this.run(session, arrived);
      }
    }
  }

  private async run(session: LoadSession, { statement, id, atMs }: Arrived): Promise<void> {
    this.underWay += 1;
    const end = await session.run(statement, id);
    const nowMs = this.settings.timer.now();
    this.record(end, statement, id, atMs, nowMs);
    this.idle.push(session);
    this.underWay -= 1;
    if (this.account.arrival.kind === 'closed' && this.isArriving) {
      this.arrive(nowMs);
    }
    this.dispatch();
    if (this.underWay === 0) {
      this.idleHandlers.forEach((handler) => handler());
    }
  }

  private record(
    end: RequestEnd,
    statement: LoadStatement,
    id: string,
    arrivedMs: number,
    nowMs: number,
  ): void {
    if (end === undefined || end instanceof LoadViolation) {
      this.history.end(id, LoadOutcome.Acknowledged);
      this.statistics.acknowledge(statement.name, statement.isWrite, arrivedMs, nowMs);
    } else {
      this.history.end(id, end.outcome);
      this.statistics.fail(end.outcome, end.code);
    }
    if (end instanceof LoadViolation) {
      this.statistics.violate(end.promise);
    }
  }

  private chooseStatement(): LoadStatement {
    const { mix } = this.account;
    let remaining = this.random.next() * mix.reduce((total, { weight }) => total + weight, 0);
    for (const { statement, weight } of mix) {
      remaining -= weight;
      if (remaining < 0) {
        return statement;
      }
    }
    throw new RangeError(`account ${this.account.name} has no statements`);
  }

  private drawGapMs(ratePerSecond: number): number {
    return this.random.nextExponential(MS_PER_SECOND / ratePerSecond);
  }
}
