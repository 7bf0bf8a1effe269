import * as fc from 'fast-check';
import { expect, test } from 'vitest';
import { toFailureDomain, toHostId, type HostId } from '../../../common/ids/index.js';
import { BoundedRendezvous, LeastLoadedNear, Placement, type PlacementPolicy } from './index.js';

const SEED = 20261204;
const SLOW_START_MS = 30_000;

const policies: readonly (readonly [string, () => PlacementPolicy])[] = [
  ['least loaded near', () => new LeastLoadedNear()],
  ['bounded rendezvous', () => new BoundedRendezvous()],
];

function addHost(placement: Placement, index: number, nowMs: number, warmMs: number): void {
  const domain = toFailureDomain(`d${index % 3}`);
  const host = toHostId(`h${index}`);
  placement.addHost({ host, domain, sinceMs: nowMs, warmAtMs: nowMs + warmMs });
}

/** Moves resources until the policy finds nothing to move; gives the number of moves. */
function rebalance(
  placement: Placement,
  hostByKey: Map<string, HostId>,
  startMs: number,
  limit: number,
): number {
  let moves = 0;
  for (let nowMs = startMs; nowMs < startMs + 3 * SLOW_START_MS && moves < limit; nowMs += 1000) {
    const move = placement.findMove(nowMs);
    const [key] = [...hostByKey].find(([, host]) => host === move?.from) ?? [];
    if (key !== undefined) {
      placement.place(key, undefined);
      placeResource(placement, hostByKey, key, nowMs);
      moves++;
    }
  }
  return moves;
}

function placeResource(
  placement: Placement,
  hostByKey: Map<string, HostId>,
  key: string,
  nowMs: number,
): void {
  const near = toFailureDomain(`d${key.length % 3}`);
  const host = placement.choose({ key, near }, nowMs);
  placement.place(key, host);
  if (host !== undefined) {
    hostByKey.set(key, host);
  }
}

test.each(policies)('%s: balanced, and few moves when a host leaves and returns', (_, create) => {
  const sizes = fc.tuple(fc.integer({ min: 2, max: 15 }), fc.integer({ min: 0, max: 120 }));
  const property = fc.property(sizes, fc.nat(), ([hosts, keys], pick) => {
    const placement = new Placement(create());
    const places = new Map<string, HostId>();
    for (let index = 0; index < hosts; index++) {
      addHost(placement, index, 0, 0);
    }
    for (let index = 0; index < keys; index++) {
      placeResource(placement, places, `${'k'.repeat(1 + (index % 3))}${index}`, 0);
    }
    const lost = toHostId(`h${pick % hosts}`);
    const orphans = [...places].filter(([, host]) => host === lost).map(([key]) => key);
    placement.removeHost(lost);
    for (const key of orphans) {
      placement.place(key, undefined);
      placeResource(placement, places, key, 0);
    }
    expect([...places.values()]).not.toContain(lost);
    addHost(placement, pick % hosts, 0, SLOW_START_MS);
    const limit = 2 * keys + 1;
    expect(rebalance(placement, places, 0, limit)).toBeLessThan(limit);
    const loads = Array.from({ length: hosts }, (__, index) =>
      placement.getLoad(toHostId(`h${index}`)),
    );
    const mean = keys / hosts;
    expect(Math.max(...loads)).toBeLessThanOrEqual(Math.ceil(2 * mean) + 4);
    expect(loads.reduce((sum, load) => sum + load, 0)).toBe(keys);
  });
  fc.assert(property, { seed: SEED, numRuns: 200 });
});

test('a host in slow start gets its share bit by bit', () => {
  const placement = new Placement(new LeastLoadedNear());
  addHost(placement, 0, 0, 0);
  addHost(placement, 3, 0, 0);
  for (let index = 0; index < 20; index++) {
    placement.place(`k${index}`, placement.choose({ key: `k${index}` }, 0));
  }
  addHost(placement, 6, 0, SLOW_START_MS);
  const chosen = [0, SLOW_START_MS / 2, SLOW_START_MS].map((nowMs) =>
    placement.choose({ key: 'next', near: toFailureDomain('d0') }, nowMs),
  );
  expect(chosen).toEqual(['h0', 'h6', 'h6']);
});

test('a resource stays near unless its failure domain carries much more', () => {
  const placement = new Placement(new LeastLoadedNear());
  addHost(placement, 0, 0, 0);
  addHost(placement, 1, 0, 0);
  const near = toFailureDomain('d0');
  const chosen = Array.from({ length: 5 }, (_, index) => {
    const host = placement.choose({ key: `k${index}`, near }, 0);
    placement.place(`k${index}`, host);
    return host;
  });
  expect(chosen).toEqual(['h0', 'h1', 'h0', 'h0', 'h0']);
});

test('while a host carries nothing, also one in slow start, none is given a second resource', () => {
  const placement = new Placement(new LeastLoadedNear());
  [0, 1, 2, 3].forEach((index) => addHost(placement, index, 0, 0));
  [4, 5].forEach((index) => addHost(placement, index, 0, SLOW_START_MS));
  const near = toFailureDomain('d0');
  const chosen = Array.from({ length: 6 }, (_, index) => {
    const host = placement.choose({ key: `k${index}`, near }, 0);
    placement.place(`k${index}`, host);
    return host;
  });
  expect(chosen.slice(0, 2).sort()).toEqual(['h0', 'h3']);
  expect([...chosen].sort()).toEqual(['h0', 'h1', 'h2', 'h3', 'h4', 'h5']);
});

test('while half of the hosts are in slow start they count like the others', () => {
  const placement = new Placement(new LeastLoadedNear());
  [0, 1, 2].forEach((index) => addHost(placement, index, 0, 0));
  const near = toFailureDomain('d0');
  placement.place('k0', placement.choose({ key: 'k0', near }, 0));
  const late = [3, 4, 5];
  late.forEach((index) => addHost(placement, index, 0, SLOW_START_MS));
  const chosen = Array.from({ length: 5 }, (_, index) => {
    const host = placement.choose({ key: `n${index}` }, 0);
    placement.place(`n${index}`, host);
    return host;
  });
  expect([...chosen].sort()).toEqual(['h1', 'h2', 'h3', 'h4', 'h5']);
});

/** One host that stayed, with everything, beside others that join just then. */
function createWithJoiningHosts(
  create: () => PlacementPolicy,
  joining: number,
  keys: readonly string[],
): Placement {
  const placement = new Placement(create());
  addHost(placement, 0, 0, 0);
  for (const key of keys) {
    placement.place(key, placement.choose({ key }, 0));
  }
  for (let index = 1; index <= joining; index++) {
    addHost(placement, index, 0, SLOW_START_MS);
  }
  return placement;
}

function getLoads(placement: Placement, hosts: number): number[] {
  return Array.from({ length: hosts }, (_, index) => placement.getLoad(toHostId(`h${index}`)));
}

test.each(policies)(
  '%s: the one host that stayed is not given what all others left',
  (_, create) => {
    const placement = createWithJoiningHosts(create, 7, []);
    const keys = Array.from({ length: 16 }, (__, index) => `k${index}`);
    for (const key of keys) {
      placement.place(key, placement.choose({ key, near: toFailureDomain('d0') }, 100));
    }
    expect(Math.max(...getLoads(placement, 8))).toBeLessThanOrEqual(4);
    expect(getLoads(placement, 8).reduce((sum, load) => sum + load, 0)).toBe(16);
  },
);

test.each(policies)('%s: hosts in slow start relieve one that got everything', (_, create) => {
  const keys = Array.from({ length: 16 }, (__, index) => `k${index}`);
  const placement = createWithJoiningHosts(create, 7, keys);
  const places = new Map(keys.map((key) => [key, toHostId('h0')]));
  expect(getLoads(placement, 1)).toEqual([16]);
  let moves = 0;
  for (let move = placement.findMove(100); move !== undefined; move = placement.findMove(100)) {
    const [key = ''] = [...places].find(([, host]) => host === move.from) ?? [];
    placement.place(key, undefined);
    placeResource(placement, places, key, 100);
    moves += 1;
    expect(moves).toBeLessThanOrEqual(16);
  }
  expect(Math.max(...getLoads(placement, 8))).toBeLessThanOrEqual(4);
});

test('where half of the hosts stayed, the others start slowly, with one resource each', () => {
  const placement = new Placement(new LeastLoadedNear());
  const warmAtMs = [0, 0, 0, 0, SLOW_START_MS, SLOW_START_MS, SLOW_START_MS];
  warmAtMs.forEach((warmMs, index) => addHost(placement, index, 0, warmMs));
  for (let index = 0; index < 14; index++) {
    placement.place(`k${index}`, placement.choose({ key: `k${index}` }, 100));
  }
  expect(getLoads(placement, 7).slice(4)).toEqual([1, 1, 1]);
});
