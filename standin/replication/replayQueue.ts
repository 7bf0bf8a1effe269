import type { TimerService, Unsubscribe } from '../../src/common/timer/index.js';
import type { Faults } from '../instance/faults.js';
import type { LogRecord } from '../log/index.js';

const MS_PER_SECOND = 1000;

interface Arrival {
  readonly record: LogRecord;
  readonly dueMs: number;
}

/** Holds received records back for the settable lag and rate. */
export class ReplayQueue {
  private arrivals: Arrival[] = [];
  private lastDueMs = 0;
  private endWait: Unsubscribe | undefined;

  constructor(
    private readonly faults: Faults,
    private readonly timer: TimerService,
    private readonly replay: (record: LogRecord) => void,
  ) {}

  /** Takes a received record. */
  add(record: LogRecord): void {
    const { lagMs, replicationRate } = this.faults;
    const nowMs = this.timer.now();
    if (lagMs === 0 && replicationRate === 0 && this.arrivals.length === 0) {
      this.replay(record);
      return;
    }
    const spacingMs = replicationRate > 0 ? MS_PER_SECOND / replicationRate : 0;
    const dueMs = Math.max(nowMs + lagMs, this.lastDueMs + spacingMs);
    this.lastDueMs = dueMs;
    this.arrivals.push({ record, dueMs });
    this.schedule(nowMs);
  }

  /** Drops what was not replayed yet. */
  clear(): void {
    this.arrivals = [];
    this.lastDueMs = 0;
    this.endWait?.();
    this.endWait = undefined;
  }

  private schedule(nowMs: number): void {
    const [next] = this.arrivals;
    if (next === undefined || this.endWait !== undefined) {
      return;
    }
    this.endWait = this.timer.once(Math.max(0, next.dueMs - nowMs), (dueNowMs) => {
      this.endWait = undefined;
      this.replayDue(dueNowMs);
      this.schedule(dueNowMs);
    });
  }

  private replayDue(nowMs: number): void {
    const firstLater = this.arrivals.findIndex(({ dueMs }) => dueMs > nowMs);
    const count = firstLater < 0 ? this.arrivals.length : firstLater;
    for (const { record } of this.arrivals.splice(0, count)) {
      this.replay(record);
    }
  }
}
