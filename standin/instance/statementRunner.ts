import type { TimerService } from '../../src/common/timer/index.js';
import {
  Diagnostics,
  sqlFault,
  type Plan,
  type PlanRun,
  type StatementResult,
} from '../sql/index.js';
import type { Transaction } from '../storage/index.js';
import type { Faults } from './faults.js';
import { Gauge } from './gauge.js';
import type { Interruption } from './interruption.js';
import type { ServiceTime } from './serviceTime.js';
import type { SlotGate } from './slotGate.js';

const MS_PER_SECOND = 1000;

/** Runs compiled statements within the instance's slots and with its service time. */
export class StatementRunner {
  /** Statements received and not yet answered, whether executing or waiting. */
  readonly active = new Gauge();
  private executed = 0;

  constructor(
    private readonly slots: SlotGate,
    private readonly faults: Faults,
    private readonly serviceTime: ServiceTime,
    private readonly timer: TimerService,
  ) {}

  /** How many statements took a slot so far. */
  get executedCount(): number {
    return this.executed;
  }

  /** Runs a statement to its result. */
  async run(plan: Plan, run: PlanRun, interruption: Interruption): Promise<StatementResult> {
    if (!plan.facts.isOrdinaryWork) {
      return this.runOnce(plan, run, interruption);
    }
    this.active.increment();
    try {
      return await this.runInSlot(plan, run, interruption);
    } finally {
      this.active.decrement();
    }
  }

  private async runInSlot(
    plan: Plan,
    run: PlanRun,
    interruption: Interruption,
  ): Promise<StatementResult> {
    await this.slots.acquire(interruption);
    let isHolding = true;
    try {
      this.executed += 1;
      await this.spendTime(plan, run, interruption);
      for (;;) {
        const outcome = plan.run(run);
        if (outcome.kind === 'done') {
          return outcome.result;
        }
        this.slots.release();
        isHolding = false;
        await waitForEnd(run.transaction, outcome.by, interruption);
        await this.slots.acquire(interruption);
        isHolding = true;
      }
    } finally {
      if (isHolding) {
        this.slots.release();
      }
    }
  }

  private async runOnce(
    plan: Plan,
    run: PlanRun,
    interruption: Interruption,
  ): Promise<StatementResult> {
    for (;;) {
      const outcome = plan.run(run);
      if (outcome.kind === 'done') {
        return outcome.result;
      }
      await waitForEnd(run.transaction, outcome.by, interruption);
    }
  }

  private async spendTime(plan: Plan, run: PlanRun, interruption: Interruption): Promise<void> {
    let durationMs = this.faults.statementMs > 0 ? this.serviceTime.draw(this.faults) : 0;
    for (const sleep of plan.facts.sleeps) {
      durationMs += Number(sleep.evaluate([], run.context) ?? 0) * MS_PER_SECOND;
    }
    if (durationMs > 0) {
      await interruption.wait((resolve) => this.timer.once(durationMs, resolve));
    }
  }
}

async function waitForEnd(
  transaction: Transaction,
  by: Transaction,
  interruption: Interruption,
): Promise<void> {
  for (let next: Transaction | undefined = by; next !== undefined; next = next.waitsFor) {
    if (next === transaction) {
      throw sqlFault(Diagnostics.SqlDeadlock);
    }
  }
  transaction.waitsFor = by;
  try {
    await interruption.wait((resolve) => by.onEnd(resolve));
  } finally {
    transaction.waitsFor = undefined;
  }
}
