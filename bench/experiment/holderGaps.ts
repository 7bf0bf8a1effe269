import { toAccountId, toRequestId } from '../../src/common/ids/index.js';
import type { AccountLimit } from '../../src/decisions/limits/index.js';
import { findExcess } from './admissionBound.js';
import { EventLoop } from './eventLoop.js';
import { FakeNetwork } from './fakeNetwork.js';
import { FleetDaemon, ProductLimiterFactory } from './fleetDaemon.js';
import { SeededRandom } from './seededRandom.js';
import { TokenFleet } from './tokenFleet.js';

const DAEMONS = 6;
const RUNS = 40;
const EVENT_MS = 3000;
const EVENT_SPREAD_MS = 403;
const END_MS = 9000;
const OLD_HOLDER = 0;
const ENTRY = 1;
const NEW_HOLDER = 3;
const TERMS = { leaseMs: 1500, renewalMs: 200, decisionMs: 10 };
const account = toAccountId('mill');

/** What happens to an account's holder. */
export enum HolderChange {
  Lost = 'holder lost',
  Moved = 'holder moved',
}

/** The gaps in admission over several runs. */
export interface HolderGaps {
  readonly change: HolderChange;
  readonly limit: AccountLimit;
  /** Requests a second of the caller. */
  readonly demand: number;
  /** Longest time without an admission in the median run. */
  readonly medianMs: number;
  /** Longest time without an admission in any run. */
  readonly longestMs: number;
  /** Requests that were refused or never answered, of all runs. */
  readonly unserved: number;
}

const LOADS = [
  { limit: { rate: 100, burst: 20 }, demand: 80 },
  { limit: { rate: 1000, burst: 100 }, demand: 500 },
];

/** Measures how long a steady caller is admitted nothing when an account's holder changes. */
export function measureHolderGaps(): HolderGaps[] {
  return LOADS.flatMap(({ limit, demand }) =>
    Object.values(HolderChange).map((change) => measure(change, limit, demand)),
  );
}

/** Formats the gaps as a table of Markdown. */
export function formatHolderGaps(gaps: readonly HolderGaps[]): string {
  const rows = gaps.map(({ change, limit, demand, medianMs, longestMs, unserved }) =>
    [change, limit.rate, demand, medianMs.toFixed(0), longestMs.toFixed(0), unserved].join(' | '),
  );
  const header = ['change | rate | demand | median gap ms | longest gap ms | unserved'];
  return [...header, '--- | --- | --- | --- | --- | ---', ...rows]
    .map((row) => `| ${row} |`)
    .join('\n');
}

function measure(change: HolderChange, limit: AccountLimit, demand: number): HolderGaps {
  const runs = Array.from({ length: RUNS }, (_, seed) => run(change, limit, demand, seed + 1));
  const gaps = runs.map((each) => each.gapMs).sort((left, right) => left - right);
  return {
    change,
    limit,
    demand,
    medianMs: gaps[Math.floor(RUNS / 2)] ?? 0,
    longestMs: gaps.at(-1) ?? 0,
    unserved: runs.reduce((sum, each) => sum + each.unserved, 0),
  };
}

function run(change: HolderChange, limit: AccountLimit, demand: number, seed: number) {
  const loop = new EventLoop();
  const random = new SeededRandom(seed);
  const conditions = { delayMs: 1.5, jitterMs: 0.3, loss: 0, duplication: 0 };
  const network = new FakeNetwork(loop, random, conditions, (daemon) => daemon);
  const factory = new ProductLimiterFactory();
  const daemons = Array.from({ length: DAEMONS }, (_, i) => new FleetDaemon(i, 0, 0, factory));
  const fleet = new TokenFleet(loop, network, daemons, factory, undefined, TERMS);
  fleet.setLimit(account, limit);
  fleet.assign(account, OLD_HOLDER);
  const eventMs = EVENT_MS + (seed * EVENT_SPREAD_MS) / RUNS;
  loop.after(eventMs, () => {
    if (change === HolderChange.Lost) {
      fleet.stop(OLD_HOLDER);
    }
    fleet.move(account, NEW_HOLDER);
  });
  const sent = load(loop, fleet, demand);
  loop.runUntil(END_MS);
  if (findExcess(fleet.admissions, [{ fromMs: 0, limit }]) !== undefined) {
    throw new RangeError('More was admitted than rate and burst allow.');
  }
  const times = fleet.admissions.map(({ atMs }) => atMs).filter((atMs) => atMs >= eventMs);
  return { gapMs: getLongestGapMs([eventMs, ...times]), unserved: sent - fleet.admissions.length };
}

function load(loop: EventLoop, fleet: TokenFleet, demand: number): number {
  const count = (demand * (END_MS - 3000)) / 1000;
  for (let index = 0; index < count; index += 1) {
    const id = toRequestId(`r${index}`);
    loop.after(1000 + (index * 1000) / demand, () => fleet.request(ENTRY, id, account, 1, 2500));
  }
  return count;
}

function getLongestGapMs(times: readonly number[]): number {
  return times.reduce((longest, atMs, index) => {
    const next = times[index + 1] ?? atMs;
    return Math.max(longest, next - atMs);
  }, 0);
}
