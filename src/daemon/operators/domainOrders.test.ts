import * as fc from 'fast-check';
import { ok, ResultAsync } from 'neverthrow';
import { expect, test } from 'vitest';
import { MemoryControlClient } from '../../../tests/support/memoryControlClient.js';
import { toFailureDomain, type FailureDomain, type Revision } from '../../common/ids/index.js';
import type { Outcome } from '../../common/result.js';
import { ManualTimerService, type Unsubscribe } from '../../common/timer/index.js';
import type { CommandAnswer, SubjectStatus } from '../../decisions/control/index.js';
import { ArrivalMonitor, DomainOrders } from './index.js';

const SEED = 20261206;
const RUNS = 300;
const DOMAIN = toFailureDomain('north');
/** Number of times that an operator sends an order before it gives up. */
const MAXIMUM_SENDS = 3;

/** What a variant of the code leaves out, so that the check has to fail. */
interface Omission {
  readonly callerCheck?: boolean;
  readonly closeWait?: boolean;
  readonly expectedRevision?: boolean;
}

/** A control client whose calls take effect when the scheduler says so; some do so twice. */
class DelayedControlClient extends MemoryControlClient {
  constructor(
    private readonly scheduler: fc.Scheduler,
    private readonly copies: Iterator<number>,
    private readonly applied: () => void,
  ) {
    super();
  }

  override readInForce(subject: string | undefined): Outcome<readonly SubjectStatus[]> {
    return this.delay('read').andThen(() => super.readInForce(subject));
  }

  override switchDomain(
    domain: FailureDomain,
    inService: boolean,
    expected: Revision,
  ): Outcome<CommandAnswer> {
    const carryOut = (): Outcome<CommandAnswer> =>
      super.switchDomain(domain, inService, expected).map((answer) => {
        this.applied();
        return answer;
      });
    const count = this.copies.next().value as number;
    const copies = Array.from({ length: count }, () => this.delay('switch').andThen(carryOut));
    return new ResultAsync(Promise.race(copies));
  }

  private delay(label: string): Outcome<unknown> {
    return new ResultAsync(this.scheduler.schedule(Promise.resolve(ok(undefined)), label));
  }
}

/** A timer that lets the close of a caller arrive during a wait; the scheduler says when it ends. */
class ScheduledTimer extends ManualTimerService {
  constructor(
    private readonly scheduler: fc.Scheduler,
    private readonly receiveClose: () => void,
    private readonly isOmitted: boolean,
  ) {
    super();
  }

  override once(_delayMs: number, handler: (nowMs: number) => void): Unsubscribe {
    if (this.isOmitted) {
      handler(this.now());
      return () => undefined;
    }
    // A close that was sent before the wait has arrived at its end.
    this.receiveClose();
    void this.scheduler.schedule(Promise.resolve(), 'wait').then(() => handler(this.now()));
    return () => undefined;
  }
}

/** An operator that sends one order after another, each again to other hosts while unanswered. */
class Operator {
  /** State that the last acknowledged order set; undefined while a newer order is on its way. */
  acknowledged: boolean | undefined;
  isDone = false;
  readonly violations: string[] = [];
  private readonly control: DelayedControlClient;

  constructor(
    private readonly scheduler: fc.Scheduler,
    copies: Iterator<number>,
    private readonly omission: Omission,
  ) {
    this.control = new DelayedControlClient(scheduler, copies, () => this.check());
  }

  async send(orders: readonly boolean[]): Promise<void> {
    for (const inService of orders) {
      this.acknowledged = undefined;
      for (let sends = 0; sends < MAXIMUM_SENDS; sends += 1) {
        if (await this.attempt(inService)) {
          this.acknowledged = inService;
          this.check();
          await this.scheduler.schedule(Promise.resolve(), 'rest');
          break;
        }
      }
    }
    this.isDone = true;
  }

  /** Sends an order to one host; false when no answer has come before the caller's timeout. */
  private async attempt(inService: boolean): Promise<boolean> {
    let isClosed = false;
    const answered = this.carryOut(inService, () => isClosed);
    const timedOut = this.scheduler.schedule(Promise.resolve(false), 'timeout');
    const isAccepted = await Promise.race([answered, timedOut]);
    isClosed = true;
    return isAccepted;
  }

  /** Has the order carried out once the host reads it, which a suspended host does late. */
  private async carryOut(inService: boolean, isClosed: () => boolean): Promise<boolean> {
    const { scheduler, omission } = this;
    await scheduler.schedule(Promise.resolve(), 'arrival');
    let isCloseReceived = false;
    const receiveClose = (): void => {
      isCloseReceived = isClosed();
    };
    const timer = new ScheduledTimer(scheduler, receiveClose, omission.closeWait === true);
    const orders = new DomainOrders(this.createControl(), new ArrivalMonitor(timer), timer);
    const isAbandoned = (): boolean => omission.callerCheck !== true && isCloseReceived;
    const carriedOut = await orders.carryOut(DOMAIN, inService, isAbandoned);
    return carriedOut.isOk();
  }

  private createControl(): MemoryControlClient {
    if (this.omission.expectedRevision !== true) {
      return this.control;
    }
    const unconditional = Object.create(this.control) as DelayedControlClient;
    unconditional.switchDomain = (domain, inService) =>
      this.control.switchDomain(domain, inService, undefined as unknown as Revision);
    return unconditional;
  }

  private check(): void {
    if (this.acknowledged !== undefined) {
      const isInService = this.control.isInService(DOMAIN);
      if (isInService !== this.acknowledged) {
        this.violations.push(`${isInService} after ${this.acknowledged} was acknowledged`);
      }
    }
  }
}

function createProperty(omission: Omission) {
  const orders = fc.array(fc.boolean(), { minLength: 2, maxLength: 6 });
  const copies = fc.infiniteStream(fc.integer({ min: 1, max: 2 }));
  return fc.asyncProperty(fc.scheduler(), orders, copies, async (scheduler, sent, counts) => {
    const operator = new Operator(scheduler, counts[Symbol.iterator](), omission);
    const finished = operator.send(sent);
    while (!operator.isDone || scheduler.count() > 0) {
      for (let turn = 0; turn < 4; turn += 1) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      if (scheduler.count() > 0) {
        await scheduler.waitNext(1);
      }
    }
    await finished;
    expect(operator.violations.join()).toBe('');
  });
}

const PARAMETERS = { seed: SEED, numRuns: RUNS, endOnFailure: true } as const;

// Guards against delayed, resent and repeated orders that undo a newer, acknowledged one.
test('no order takes effect after a newer one was acknowledged', async () => {
  await fc.assert(createProperty({}), PARAMETERS);
}, 60_000);

test('the check finds orders that ignore callers, their late closes, or the revision', async () => {
  for (const omission of [{ callerCheck: true }, { closeWait: true }, { expectedRevision: true }]) {
    const found = await fc.check(createProperty(omission), PARAMETERS);
    expect(String(found.errorInstance)).toContain('was acknowledged');
  }
}, 60_000);
