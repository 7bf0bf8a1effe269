import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  createPeriods,
  findExcess,
  type LimitPeriod,
} from '../../../bench/experiment/admissionBound.js';
import { EventLoop } from '../../../bench/experiment/eventLoop.js';
import { FakeNetwork, type NetworkConditions } from '../../../bench/experiment/fakeNetwork.js';
import {
  FleetDaemon,
  type LimiterFactory,
  ProductLimiterFactory,
} from '../../../bench/experiment/fleetDaemon.js';
import { SeededRandom } from '../../../bench/experiment/seededRandom.js';
import { TokenFleet } from '../../../bench/experiment/tokenFleet.js';
import { type HostId, type Incarnation, toAccountId, toRequestId } from '../../common/ids/index.js';
import type { EntryLedger } from './entryLedger.js';
import {
  type AccountLimit,
  AccountLimiter,
  EntryLimiter,
  GRANT_EXPIRY_MS,
  GRANT_VALIDITY_MS,
  RateBucket,
  type RateBucketOptions,
  type TokenGrant,
  TokenExchange,
  TokenPool,
} from './index.js';

const DAEMONS = 4;
const SEED = 20261204;
const RUNS = 600;
const testAccount = toAccountId('mill');

enum StepKind {
  Burst,
  Steady,
  Move,
  MoveWithDelay,
  IsolateHolder,
  Restart,
  CutOff,
  Pause,
  ChangeLimit,
}

const stepKinds = [
  StepKind.Burst,
  StepKind.Steady,
  StepKind.Move,
  StepKind.MoveWithDelay,
  StepKind.IsolateHolder,
  StepKind.Restart,
  StepKind.CutOff,
  StepKind.Pause,
  StepKind.ChangeLimit,
];

interface Step {
  readonly kind: StepKind;
  readonly daemon: number;
  readonly amount: number;
  readonly thenMs: number;
}

interface Scenario {
  readonly seed: number;
  readonly limit: AccountLimit;
  readonly conditions: NetworkConditions;
  readonly drifts: readonly number[];
  readonly leaseMs: number;
  readonly decisionMs: number;
  readonly steps: readonly Step[];
}

const limits = fc.record({
  rate: fc.constantFrom(0.5, 3, 20, 100, 400),
  burst: fc.constantFrom(1, 2, 10, 40),
});

const scenarios: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  limit: limits,
  conditions: fc.record({
    delayMs: fc.constantFrom(0.5, 1.5, 20, 90),
    jitterMs: fc.constantFrom(0, 5, 120),
    loss: fc.constantFrom(0, 0.05, 0.4),
    duplication: fc.constantFrom(0, 0.2),
  }),
  drifts: fc.array(fc.constantFrom(-0.01, -0.003, 0, 0.007, 0.01), {
    minLength: DAEMONS,
    maxLength: DAEMONS,
  }),
  leaseMs: fc.constantFrom(200, 700, 1500),
  decisionMs: fc.constantFrom(0, 10),
  steps: fc.array(
    fc.record({
      kind: fc.constantFrom(...stepKinds),
      daemon: fc.integer({ min: 0, max: DAEMONS - 1 }),
      amount: fc.integer({ min: 1, max: 60 }),
      thenMs: fc.constantFrom(0, 30, 200, 495, 520, 1500),
    }),
    { minLength: 4, maxLength: 30 },
  ),
});

/** A single run of a scenario on a simulated fleet. */
class ScenarioRun {
  readonly loop = new EventLoop();
  readonly fleet: TokenFleet;
  readonly limitPeriods: LimitPeriod[] = [];
  private readonly random: SeededRandom;
  private readonly network: FakeNetwork;
  private sent = 0;

  constructor(
    private readonly scenario: Scenario,
    factory: LimiterFactory,
  ) {
    this.random = new SeededRandom(scenario.seed);
    const conditions = { ...scenario.conditions };
    this.network = new FakeNetwork(this.loop, this.random, conditions, (daemon) => daemon);
    const daemons = scenario.drifts.map((drift, i) => new FleetDaemon(i, 500 * i, drift, factory));
    const { leaseMs, decisionMs } = scenario;
    const leaseTiming = { leaseMs, renewalMs: 50, decisionMs };
    this.fleet = new TokenFleet(this.loop, this.network, daemons, factory, undefined, leaseTiming);
    this.setLimit(scenario.limit);
    this.fleet.assign(testAccount, 0);
    const { rate, burst } = scenario.limit;
    this.loop.runUntil(GRANT_EXPIRY_MS * 2 + Math.min(30, burst / rate) * 1000);
  }

  /** Runs all steps, then ends the faults and runs on until the fleet is idle. */
  run(): void {
    for (const step of this.scenario.steps) {
      this.perform(step);
      this.wait(step.thenMs);
    }
    Object.assign(this.network.conditions, { loss: 0, duplication: 0, jitterMs: 0 });
    this.fleet.move(testAccount, 1);
    this.loop.runUntil(this.loop.nowMs + 20_000);
  }

  private perform(step: Step): void {
    const { kind, daemon, amount } = step;
    switch (kind) {
      case StepKind.Burst:
        this.send(daemon, amount);
        break;
      case StepKind.Steady:
        this.sendSteadily(amount);
        break;
      case StepKind.Move:
        this.fleet.move(testAccount, daemon);
        break;
      case StepKind.MoveWithDelay:
        this.fleet.move(testAccount, daemon, amount);
        break;
      case StepKind.IsolateHolder:
        this.isolateHolder(daemon, amount);
        break;
      case StepKind.Restart:
        this.fleet.restart(daemon);
        break;
      case StepKind.CutOff:
        this.cutOff(daemon, amount * 20);
        break;
      case StepKind.Pause:
        this.fleet.pause(daemon, amount * 15);
        break;
      case StepKind.ChangeLimit:
        this.setLimit({ rate: amount * 2, burst: Math.ceil(amount / 3) });
        break;
    }
  }

  /** Isolates the holder, which continues granting to itself until its lease expires. */
  private isolateHolder(successor: number, amount: number): void {
    const holder = this.fleet.getHolder(testAccount);
    if (holder === undefined) {
      return;
    }
    this.send(holder, amount);
    this.cutOff(holder, this.scenario.leaseMs + amount * 20);
    this.loop.after(this.scenario.leaseMs - 150, () => this.send(holder, amount));
    this.fleet.move(testAccount, successor);
  }

  private cutOff(daemon: number, durationMs: number): void {
    this.network.setCutOff(daemon, true);
    this.loop.after(durationMs, () => this.network.setCutOff(daemon, false));
  }

  private sendSteadily(count: number): void {
    for (let index = 0; index < count; index += 1) {
      const daemon = Math.floor(this.random.next() * DAEMONS);
      this.loop.after(index * 15, () => this.send(daemon, 1));
    }
  }

  private send(daemon: number, count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.sent += 1;
      const cost = this.sent % 7 === 0 ? 2 : 1;
      this.fleet.request(daemon, toRequestId(`r${this.sent}`), testAccount, cost, 2500);
    }
  }

  private setLimit(limit: AccountLimit): void {
    this.limitPeriods.push({ fromMs: this.loop.nowMs, limit });
    this.fleet.setLimit(testAccount, limit);
  }

  private wait(durationMs: number): void {
    const endMs = this.loop.nowMs + durationMs;
    while (this.loop.nowMs < endMs) {
      this.loop.runUntil(Math.min(endMs, this.loop.nowMs + 5));
      this.checkConservation();
    }
  }

  private checkConservation(): void {
    const bucket = this.fleet.getBucket(testAccount);
    const burst = this.limitPeriods.at(-1)?.limit.burst ?? 0;
    if (bucket !== undefined) {
      const held = bucket.getOutstanding();
      assertAtMost(
        this.fleet.getStock(testAccount),
        held + 1e-6,
        'stock above the outstanding tokens',
      );
      if (bucket.getAvailable() > 0) {
        const total = bucket.getAvailable() + held;
        assertAtMost(total, burst + 1e-6, 'available and outstanding tokens above the burst');
      }
    }
  }
}

/**
 * Replaces `expect`, which would take half of the run time of these tests, for checks that run every
 * 5 ms of a scenario.
 */
function assertAtMost(value: number, bound: number, what: string): void {
  if (!(value <= bound)) {
    throw new Error(`${what}: ${value} > ${bound}`);
  }
}

function runScenario(scenario: Scenario, factory: LimiterFactory): ScenarioRun {
  const run = new ScenarioRun(scenario, factory);
  run.run();
  return run;
}

let admitted = 0;

function checkScenarios(factory: LimiterFactory, runs: number): fc.RunDetails<[Scenario]> {
  const property = fc.property(scenarios, (scenario) => {
    const run = runScenario(scenario, factory);
    const periods = createPeriods(run.limitPeriods, GRANT_EXPIRY_MS * 1.02);
    expect(findExcess(run.fleet.admissions, periods)).toBeUndefined();
    admitted += run.fleet.admissions.length;
    const bucket = run.fleet.getBucket(testAccount);
    expect(run.fleet.waitingCount, 'waiting').toBe(0);
    expect(bucket?.getOutstanding()).toBe(0);
  });
  return fc.check(property, { seed: SEED, numRuns: runs, endOnFailure: true });
}

test('rate and burst hold over every window and tokens are conserved under every fault', () => {
  const details = checkScenarios(new ProductLimiterFactory(), RUNS);
  expect(details.failed, fc.defaultReportMessage(details)).toBe(false);
  expect(admitted).toBeGreaterThan(12_000);
});

/** Creates production limiters with another class of buckets. */
class BucketFactory extends ProductLimiterFactory {
  constructor(private readonly Bucket: typeof RateBucket) {
    super();
  }

  override createBucket(options: RateBucketOptions): RateBucket {
    return new this.Bucket(options);
  }
}

class LeaseIgnoringBucket extends RateBucket {
  protected override getGrantValidityMs(): number {
    return GRANT_VALIDITY_MS;
  }
}

class DriftIgnoringBucket extends RateBucket {
  protected override getGrantValidityMs(receivedMs: number): number {
    return Math.min(GRANT_VALIDITY_MS, this.getEndMs() - receivedMs);
  }
}

class EarlyReleaseBucket extends RateBucket {
  private isDraining = false;

  override drain(nowMs: number): void {
    super.drain(nowMs);
    this.isDraining = true;
  }

  override release(): boolean {
    return this.isDraining;
  }
}

class ReclaimingBucket extends RateBucket {
  protected override expire(ledger: EntryLedger, sequence: number): void {
    this.settle(ledger, { sequence, used: 0 });
  }
}

class FullStartPool extends TokenPool {
  constructor(limit: AccountLimit, startMs: number) {
    super(limit, startMs);
    this.available = limit.burst;
  }
}

class OutstandingIgnoringPool extends TokenPool {
  override refill(nowMs: number): void {
    const outstanding = this.outstanding;
    this.outstanding = 0;
    super.refill(nowMs);
    this.outstanding = outstanding;
  }
}

class FastRefillPool extends TokenPool {
  override refill(nowMs: number): void {
    const { limit } = this;
    this.limit = { ...limit, rate: limit.rate * 1.02 };
    super.refill(nowMs);
    this.limit = limit;
  }
}

class DoubleReturnPool extends TokenPool {
  override settle(amount: number, unused: number): void {
    super.settle(amount, unused);
    this.available += unused;
  }
}

function createBucketClass(Pool: typeof TokenPool): typeof RateBucket {
  return class extends RateBucket {
    protected override createPool(limit: AccountLimit, startMs: number): TokenPool {
      return new Pool(limit, startMs);
    }
  };
}

/** Creates production limiters with another class of token exchanges at the entry daemons. */
class ExchangeFactory extends ProductLimiterFactory {
  constructor(private readonly Exchange: typeof TokenExchange) {
    super();
  }

  override createLimiter(entry: HostId, incarnation: Incarnation): EntryLimiter {
    const { Exchange } = this;
    class AccountLimiterVariant extends AccountLimiter {
      protected override createExchange(
        host: HostId,
        entryIncarnation: Incarnation,
      ): TokenExchange {
        return new Exchange(this.account, host, entryIncarnation);
      }
    }
    class EntryLimiterVariant extends EntryLimiter {
      protected override createAccount(
        account: typeof testAccount,
        limit: AccountLimit,
      ): AccountLimiter {
        return new AccountLimiterVariant(account, entry, incarnation, limit);
      }
    }
    return new EntryLimiterVariant(entry, incarnation);
  }
}

class LateExpiryExchange extends TokenExchange {
  override accept(grant: TokenGrant, nowMs: number): number | undefined {
    const expiresMs = super.accept(grant, nowMs);
    return expiresMs === undefined ? undefined : expiresMs + grant.validityMs;
  }
}

class UncheckedExchange extends TokenExchange {
  override accept(grant: TokenGrant, nowMs: number): number | undefined {
    super.accept(grant, nowMs);
    return nowMs + grant.validityMs;
  }
}

test.each([
  ['makes grants that outlive the lease', new BucketFactory(LeaseIgnoringBucket)],
  [
    'ignores clock drift between hosts when it bounds grants by the lease',
    new BucketFactory(DriftIgnoringBucket),
  ],
  ['is released before its grants have expired', new BucketFactory(EarlyReleaseBucket)],
  ['starts a new holder with the full burst', new BucketFactory(createBucketClass(FullStartPool))],
  ['counts expired grants as unused', new BucketFactory(ReclaimingBucket)],
  [
    'does not count outstanding grants against the burst',
    new BucketFactory(createBucketClass(OutstandingIgnoringPool)),
  ],
  [
    'does not allow for clock drift when it refills',
    new BucketFactory(createBucketClass(FastRefillPool)),
  ],
  ['counts returned tokens twice', new BucketFactory(createBucketClass(DoubleReturnPool))],
  ['uses grants beyond their validity', new ExchangeFactory(LateExpiryExchange)],
  [
    'accepts any grant and counts its validity from receipt',
    new ExchangeFactory(UncheckedExchange),
  ],
])('the property test detects a limiter variant that %s', (_, factory) => {
  expect(checkScenarios(factory, RUNS).failed).toBe(true);
});
