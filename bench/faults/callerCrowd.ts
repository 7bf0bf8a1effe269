import type { RandomSource } from '../../src/common/random.js';
import { DATABASES } from '../lines/lineConfiguration.js';
import type { PlannedLineDaemon } from '../lines/linePlan.js';
import { OWNER } from './backendWatch.js';
import type { CallerLedger } from './callerLedger.js';
import { CallerSession } from './callerSession.js';
import type { FaultFleet } from './faultFleet.js';

/** Mean pause of a caller between two requests; most of the crowd is idle at any time. */
const PAUSE_MS = 2500;
/** Callers of a rush ask within this time. */
const RUSH_MS = 300;
const RECONNECT_MS = 300;

/** Callers that stay with one entry host: idle sessions until the process is gone, which now and then all ask. */
export class CallerCrowd {
  served = 0;
  private sessions = 0;
  private stopped = false;
  private rushUntilMs = -Infinity;
  /** Ends the pauses of idle callers. */
  private readonly wakes = new Set<() => void>();

  constructor(
    private readonly entry: PlannedLineDaemon,
    private readonly size: number,
    private readonly fleet: FaultFleet,
    private readonly ledger: CallerLedger,
    private readonly random: RandomSource,
  ) {}

  async run(): Promise<void> {
    await Promise.all(Array.from({ length: this.size }, (_, index) => this.work(index)));
  }

  /** All callers ask, again and again for a time. */
  rush(lengthMs: number): void {
    this.rushUntilMs = this.fleet.timer.now() + lengthMs;
    this.wakeAll();
  }

  stop(): void {
    this.stopped = true;
    this.wakeAll();
  }

  private async work(index: number): Promise<void> {
    const { fleet, random } = this;
    await fleet.sleep(random.next() * PAUSE_MS);
    while (!this.stopped) {
      const item = `crowd-${this.entry.node}-${index}`;
      const session = await this.open(item);
      if (session !== undefined) {
        await this.use(session, item);
      }
      await fleet.sleep(random.next() * RECONNECT_MS);
    }
  }

  private async use(session: CallerSession, item: string): Promise<void> {
    while (!this.stopped && !session.isClosed) {
      await this.pause();
      const reply = await session.ask(`FETCH ${item}`);
      this.served += reply !== undefined && reply.error === undefined ? 1 : 0;
    }
    session.close();
  }

  private async pause(): Promise<void> {
    const { fleet, random } = this;
    const { timer } = fleet;
    if (timer.now() > this.rushUntilMs) {
      await this.idle(random.next() * PAUSE_MS * 2);
    }
    if (timer.now() <= this.rushUntilMs) {
      await fleet.sleep(random.next() * RUSH_MS);
    }
  }

  /** Waits; a rush ends it early. */
  private idle(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        cancel();
        this.wakes.delete(wake);
        resolve();
      };
      const cancel = this.fleet.timer.once(durationMs, wake);
      this.wakes.add(wake);
    });
  }

  private wakeAll(): void {
    [...this.wakes].forEach((wake) => wake());
  }

  private async open(item: string): Promise<CallerSession | undefined> {
    const { timer, group } = this.fleet;
    this.sessions += 1;
    const target = {
      ...{ node: this.entry.node, address: this.entry.frontend ?? '', key: 'key-press' },
      ...{ account: 'press', item, name: `${item}-${this.sessions}` },
      database: `${DATABASES.session}-${group.options.service}`,
    };
    const session = await CallerSession.open(target, this.ledger, timer);
    const reply = await session.ask(`SET ${OWNER} ${item}`);
    return reply === undefined ? undefined : session;
  }
}
