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

/**
 * Moves resources as the policy proposes for three slow starts; returns the number of moves, at
 * most `limit`.
 */
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

test.each(policies)(
  '%s: load is balanced, with few moves, when a host leaves and returns',
  (_, create) => {
    const sizes = fc.tuple(fc.integer({ min: 2, max: 15 }), fc.integer({ min: 0, max: 120 }));
    const property = fc.property(sizes, fc.nat(), ([hosts, keys], pick) => {
      const placement = new Placement(create());
      const hostByKey = new Map<string, HostId>();
      for (let index = 0; index < hosts; index++) {
        addHost(placement, index, 0, 0);
      }
      for (let index = 0; index < keys; index++) {
        placeResource(placement, hostByKey, `${'k'.repeat(1 + (index % 3))}${index}`, 0);
      }
      const lost = toHostId(`h${pick % hosts}`);
      const lostKeys = [...hostByKey].filter(([, host]) => host === lost).map(([key]) => key);
      placement.removeHost(lost);
      for (const key of lostKeys) {
        placement.place(key, undefined);
        placeResource(placement, hostByKey, key, 0);
      }
      expect([...hostByKey.values()]).not.toContain(lost);
      addHost(placement, pick % hosts, 0, SLOW_START_MS);
      const limit = 2 * keys + 1;
      expect(rebalance(placement, hostByKey, 0, limit)).toBeLessThan(limit);
      const loads = Array.from({ length: hosts }, (__, index) =>
        placement.getLoad(toHostId(`h${index}`)),
      );
      const mean = keys / hosts;
      expect(Math.max(...loads)).toBeLessThanOrEqual(Math.ceil(2 * mean) + 4);
      expect(loads.reduce((sum, load) => sum + load, 0)).toBe(keys);
    });
    fc.assert(property, { seed: SEED, numRuns: 200 });
  },
);

test('a host in slow start gets its share gradually', () => {
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

test('a resource is placed in the near failure domain unless its load is much higher', () => {
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

test('no host gets a second resource while another one, even in slow start, has none', () => {
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

test('hosts in slow start count like the others while they are half of all hosts', () => {
  const placement = new Placement(new LeastLoadedNear());
  [0, 1, 2].forEach((index) => addHost(placement, index, 0, 0));
  const near = toFailureDomain('d0');
  placement.place('k0', placement.choose({ key: 'k0', near }, 0));
  const joining = [3, 4, 5];
  joining.forEach((index) => addHost(placement, index, 0, SLOW_START_MS));
  const chosen = Array.from({ length: 5 }, (_, index) => {
    const host = placement.choose({ key: `n${index}` }, 0);
    placement.place(`n${index}`, host);
    return host;
  });
  expect([...chosen].sort()).toEqual(['h1', 'h2', 'h3', 'h4', 'h5']);
});

/**
 * Creates a placement as after most hosts were killed: one host has all resources, others join in
 * slow start.
 */
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
  '%s: the only remaining host is not given all resources of the lost hosts',
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

test.each(policies)(
  '%s: hosts in slow start take resources from a host that has all of them',
  (_, create) => {
    const keys = Array.from({ length: 16 }, (__, index) => `k${index}`);
    const placement = createWithJoiningHosts(create, 7, keys);
    const hostByKey = new Map(keys.map((key) => [key, toHostId('h0')]));
    expect(getLoads(placement, 1)).toEqual([16]);
    let moves = 0;
    for (let move = placement.findMove(100); move !== undefined; move = placement.findMove(100)) {
      const [key = ''] = [...hostByKey].find(([, host]) => host === move.from) ?? [];
      placement.place(key, undefined);
      placeResource(placement, hostByKey, key, 100);
      moves += 1;
      expect(moves).toBeLessThanOrEqual(16);
    }
    expect(Math.max(...getLoads(placement, 8))).toBeLessThanOrEqual(4);
  },
);

test('while most hosts are past their slow start, the others get one resource each', () => {
  const placement = new Placement(new LeastLoadedNear());
  const warmTimesMs = [0, 0, 0, 0, SLOW_START_MS, SLOW_START_MS, SLOW_START_MS];
  warmTimesMs.forEach((warmMs, index) => addHost(placement, index, 0, warmMs));
  for (let index = 0; index < 14; index++) {
    placement.place(`k${index}`, placement.choose({ key: `k${index}` }, 100));
  }
  expect(getLoads(placement, 7).slice(4)).toEqual([1, 1, 1]);
});
