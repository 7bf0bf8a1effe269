import { expect, test } from 'vitest';
import { toAccountId, toRequestId } from '../../src/common/ids/index.js';
import { type Admit } from '../../src/decisions/limits/index.js';
import { findExcess } from './admissionBound.js';
import { EventLoop } from './eventLoop.js';
import { FakeNetwork } from './fakeNetwork.js';
import { FleetDaemon, ProductLimiterFactory } from './fleetDaemon.js';
import { SeededRandom } from './seededRandom.js';
import { AdmissionObserver, TokenFleet } from './tokenFleet.js';

class Tally extends AdmissionObserver {
  readonly waits: number[] = [];
  readonly daemons = new Set<number>();
  refusals = 0;

  override admitted(daemon: number, admit: Admit): void {
    this.daemons.add(daemon);
    this.waits.push(admit.waitedMs);
  }

  override refused(): void {
    this.refusals += 1;
  }
}

const LEASE_MS = 1500;
const RENEWAL_MS = 200;
const DECISION_MS = 10;
const mill = toAccountId('mill');

function createFleet(size: number, delayMs = 1.5) {
  const loop = new EventLoop();
  const random = new SeededRandom(7);
  const conditions = { delayMs, jitterMs: 0.2, loss: 0, duplication: 0 };
  const network = new FakeNetwork(loop, random, conditions, (daemon) => daemon);
  const factory = new ProductLimiterFactory();
  const daemons = Array.from({ length: size }, (_, i) => new FleetDaemon(i, 1000 * i, 0, factory));
  const tally = new Tally();
  const terms = { leaseMs: LEASE_MS, renewalMs: RENEWAL_MS, decisionMs: DECISION_MS };
  const fleet = new TokenFleet(loop, network, daemons, factory, tally, terms);
  return { loop, random, network, fleet, tally };
}

/** Sends at a rate to the daemons in turn, or to one. */
function load(
  { loop, random, fleet }: ReturnType<typeof createFleet>,
  rate: number,
  untilMs: number,
  pick: () => number,
): () => number {
  let sent = 0;
  const next = () => {
    sent += 1;
    fleet.request(pick(), toRequestId(`${rate}-${sent}`), mill, 1, 2000);
    if (loop.nowMs < untilMs) {
      loop.after(random.nextExponential(1000 / rate), next);
    }
  };
  loop.after(0, next);
  return () => sent;
}

test('an account inside its rate is admitted without refusal and seldom waits', () => {
  const run = createFleet(6);
  run.fleet.setLimit(mill, { rate: 100, burst: 20 });
  run.fleet.assign(mill, 0);
  run.loop.runUntil(1000);
  const getSent = load(run, 80, 21_000, () => Math.floor(run.random.next() * 6));
  run.loop.runUntil(25_000);
  expect(run.tally.refusals).toBe(0);
  expect(run.tally.waits.length).toBe(getSent());
  expect(run.tally.daemons.size).toBe(6);
  const late = run.tally.waits.filter((wait) => wait > 0).length;
  expect(late / run.tally.waits.length).toBeLessThan(0.1);
  const limit = { rate: 100, burst: 20 };
  expect(findExcess(run.fleet.admissions, [{ fromMs: 0, limit }])).toBeUndefined();
});

test('a steady caller at one daemon hardly ever waits', () => {
  const run = createFleet(6);
  run.fleet.setLimit(mill, { rate: 100, burst: 20 });
  run.fleet.assign(mill, 0);
  run.loop.runUntil(2000);
  load(run, 80, 22_000, () => 3);
  run.loop.runUntil(25_000);
  const late = run.tally.waits.filter((wait) => wait > 0).length;
  expect(late / run.tally.waits.length).toBeLessThan(0.01);
});

test('an account at five times its rate is admitted its rate and no more', () => {
  const run = createFleet(6);
  run.fleet.setLimit(mill, { rate: 100, burst: 20 });
  run.fleet.assign(mill, 0);
  run.loop.runUntil(1000);
  load(run, 500, 21_000, () => Math.floor(run.random.next() * 6));
  run.loop.runUntil(21_000);
  expect(run.fleet.admissions.length).toBeGreaterThan(0.95 * 2000);
  const limit = { rate: 100, burst: 20 };
  expect(findExcess(run.fleet.admissions, [{ fromMs: 0, limit }])).toBeUndefined();
});

test('all callers of an account on one host, then on another, are not refused', () => {
  const run = createFleet(6);
  run.fleet.setLimit(mill, { rate: 100, burst: 20 });
  run.fleet.assign(mill, 0);
  run.loop.runUntil(1000);
  const getSent = load(run, 80, 20_000, () =>
    Math.floor(run.loop.nowMs / 2000) % 2 === 0 ? 1 : 4,
  );
  run.loop.runUntil(25_000);
  expect(run.tally.refusals).toBe(0);
  expect(run.tally.waits.length).toBe(getSent());
  expect(Math.max(...run.tally.waits)).toBeLessThan(500);
});

test('an account below one request per grant round is served its rate', () => {
  const run = createFleet(6);
  const limit = { rate: 1, burst: 2 };
  run.fleet.setLimit(mill, limit);
  run.fleet.assign(mill, 0);
  run.loop.runUntil(3000);
  for (let index = 0; index < 30; index += 1) {
    run.loop.after(index * 1050, () =>
      run.fleet.request(index % 6, toRequestId(`s${index}`), mill, 1, 2000),
    );
  }
  run.loop.runUntil(40_000);
  expect(run.tally.refusals).toBe(0);
  expect(run.tally.waits.length).toBe(30);
  expect(findExcess(run.fleet.admissions, [{ fromMs: 0, limit }])).toBeUndefined();
});

test('requests that are rare at each of many daemons cost two messages each', () => {
  const run = createFleet(40);
  const limit = { rate: 100, burst: 100 };
  run.fleet.setLimit(mill, limit);
  run.fleet.assign(mill, 0);
  run.loop.runUntil(1000);
  const before = run.network.sentCount;
  const getSent = load(run, 20, 21_000, () => 1 + Math.floor(run.random.next() * 39));
  run.loop.runUntil(25_000);
  expect(run.tally.refusals).toBe(0);
  expect(run.tally.waits.length).toBe(getSent());
  expect((run.network.sentCount - before) / getSent()).toBeLessThan(2.5);
  expect(findExcess(run.fleet.admissions, [{ fromMs: 0, limit }])).toBeUndefined();
});

test('a lost holder costs its lease, and refuses nothing', () => {
  const run = createFleet(6);
  run.fleet.setLimit(mill, { rate: 100, burst: 20 });
  run.fleet.assign(mill, 0);
  run.loop.runUntil(1000);
  const getSent = load(run, 50, 10_000, () => 1 + Math.floor(run.random.next() * 5));
  run.loop.after(3000, () => run.fleet.stop(0));
  run.loop.runUntil(15_000);
  expect(run.tally.refusals).toBe(0);
  expect(run.tally.waits.length).toBe(getSent());
  expect(Math.max(...run.tally.waits)).toBeLessThan(LEASE_MS * 1.02 + DECISION_MS + 100);
});

test('an account whose holder is 50 ms away is served without refusal', () => {
  const run = createFleet(6, 50);
  run.fleet.setLimit(mill, { rate: 100, burst: 20 });
  run.fleet.assign(mill, 0);
  run.loop.runUntil(2000);
  const getSent = load(run, 50, 12_000, () => 3 + Math.floor(run.random.next() * 2));
  run.loop.runUntil(17_000);
  expect(run.tally.refusals).toBe(0);
  expect(run.tally.waits.length).toBe(getSent());
});
