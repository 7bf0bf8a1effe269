import { expect, test } from 'vitest';
import {
  toFailureDomain,
  toGroupId,
  toInstanceId,
  toLeaseId,
  toLogPosition,
  toRevision,
  toTerm,
} from '../../common/ids/index.js';
import { InstanceRole, PrimaryPhase, RecordKind, type GroupPrimary } from '../control/index.js';
import { Acknowledgement } from '../tickets/index.js';
import {
  DEFAULT_PROMOTION_SETTINGS,
  PromotionRules,
  type GroupView,
  type InstanceView,
} from './index.js';

const NOW_MS = 100_000;
const FENCE_MS = NOW_MS - 500;
const GROUP = toGroupId('g');
const rules = new PromotionRules(DEFAULT_PROMOTION_SETTINGS);

function createInstance(
  name: string,
  term: number,
  position: number,
  change: Partial<InstanceView> = {},
): InstanceView {
  const point = { term: toTerm(term), position: toLogPosition(position) };
  const receivedAtMs = NOW_MS - 10;
  return {
    instance: toInstanceId(name),
    domain: toFailureDomain('d'),
    ...{ inService: true, leaving: false, leavingRevision: toRevision(0) },
    restartedRevision: toRevision(0),
    announced: {
      ...point,
      ...{ receivedAtMs, earliestReceiptMs: receivedAtMs - 5 },
      ...{ role: InstanceRole.Replica, leaving: false },
    },
    observed: undefined,
    ...change,
  };
}

/** An instance that announced itself before the fence and not since. */
function createUnresponsive(name: string, term: number, position: number): InstanceView {
  const instance = createInstance(name, term, position);
  const { announced } = instance;
  const receivedAtMs = FENCE_MS - 2000;
  return {
    ...instance,
    announced: announced && { ...announced, receivedAtMs, earliestReceiptMs: receivedAtMs },
  };
}

function announcedAs(instance: InstanceView, role: InstanceRole): InstanceView {
  const { announced } = instance;
  return { ...instance, announced: announced && { ...announced, role } };
}

function createPrimary(change: Partial<GroupPrimary> = {}): GroupPrimary {
  return {
    kind: RecordKind.Primary,
    ...{ group: GROUP, term: toTerm(5), instance: toInstanceId('p'), phase: PrimaryPhase.Serving },
    since: toRevision(50),
    history: [{ term: toTerm(4), position: toLogPosition(80) }],
    ...change,
  };
}

function createView(instances: InstanceView[], change: Partial<GroupView> = {}): GroupView {
  return {
    group: GROUP,
    nowMs: NOW_MS,
    leaderSinceMs: 0,
    acknowledgement: Acknowledgement.Replica,
    primary: createPrimary(),
    departed: [],
    isolatedSinceMs: undefined,
    primaryRevision: toRevision(0),
    instances,
    ...{ holder: undefined, unheldSinceMs: FENCE_MS, firstSeenMs: 0, servingSinceMs: 0 },
    ...{ movingSinceMs: undefined, moveAbandonedMs: undefined, order: undefined },
    failedInstances: [],
    ...change,
  };
}

/** A live holder that fenced the term. */
function createHolder(acknowledged: number, hasHeldFullTerm: boolean): GroupView['holder'] {
  return {
    lease: toLeaseId('l'),
    ...{ hasHeldFullTerm, fencedTerm: toTerm(5), fencedAtMs: FENCE_MS },
    acknowledged: toLogPosition(acknowledged),
    confirmed: toLogPosition(hasHeldFullTerm ? acknowledged : 0),
  };
}

const LOST = createUnresponsive('p', 5, 120);

test('without a holder, no instance is promoted until the positions of all others are known', () => {
  const known = createInstance('a', 5, 100);
  expect(rules.decide(createView([LOST, known, createUnresponsive('b', 5, 90)]))).toMatchObject({
    step: 'wait',
    reason: 'not every position is known',
  });
  expect(rules.decide(createView([LOST, known, createInstance('b', 5, 101)]))).toMatchObject({
    step: 'promote',
    ...{ instance: 'b', term: 6, required: 101 },
  });
});

test('the position of an instance that restarted empty during the term does not count as known', () => {
  const other = createInstance('a', 5, 100);
  const restarted = createInstance('b', 5, 3, { restartedRevision: toRevision(60) });
  expect(rules.decide(createView([LOST, other, restarted]))).toMatchObject({
    step: 'wait',
    reason: 'not every position is known',
  });
  const earlier = { ...restarted, restartedRevision: toRevision(40) };
  expect(rules.decide(createView([LOST, other, earlier]))).toMatchObject({ instance: 'a' });
  const held = { holder: createHolder(100, true) };
  expect(rules.decide(createView([LOST, other, restarted], held))).toMatchObject({ instance: 'a' });
});

test('a primary that restarted empty neither serves again nor sets the position required for a move', () => {
  const restarted = { restartedRevision: toRevision(60) };
  const restartedEmpty = createInstance('p', 5, 3, restarted);
  const others = [createInstance('a', 5, 90), createUnresponsive('b', 5, 100)];
  expect(rules.decide(createView([restartedEmpty, ...others]))).toMatchObject({ step: 'wait' });
  const complete = createInstance('p', 5, 100, restarted);
  expect(rules.decide(createView([complete, ...others]))).toMatchObject({ instance: 'p' });
  const primary = createPrimary({ phase: PrimaryPhase.Moving });
  const change = { primary, holder: createHolder(100, true), movingSinceMs: NOW_MS - 100 };
  const own = announcedAs(restartedEmpty, InstanceRole.Primary);
  expect(rules.decide(createView([own, ...others], change))).toMatchObject({ step: 'wait' });
});

test('an announcement measured before the fence does not count, whenever it is received', () => {
  const current = createInstance('a', 5, 100);
  const { announced } = current;
  const measuredBeforeFence = {
    ...current,
    announced: announced && { ...announced, earliestReceiptMs: FENCE_MS },
  };
  expect(
    rules.decide(createView([LOST, measuredBeforeFence, createInstance('b', 5, 101)])),
  ).toMatchObject({
    step: 'wait',
  });
});

test('the report of a live holder of the full term sets the required position', () => {
  const instances = [LOST, createInstance('a', 5, 95), createUnresponsive('b', 5, 90)];
  const reached = createView(instances, { holder: createHolder(95, true) });
  expect(rules.decide(reached)).toMatchObject({ step: 'promote', instance: 'a', required: 95 });
  const notReached = createView(instances, { holder: createHolder(96, true) });
  expect(rules.decide(notReached)).toMatchObject({ step: 'wait', isBlocked: true });
});

test('the report of a holder that took over during the term and acknowledged nothing does not count', () => {
  const instances = [LOST, createInstance('a', 5, 95), createUnresponsive('b', 5, 99)];
  const view = createView(instances, { holder: createHolder(0, false) });
  expect(rules.decide(view)).toMatchObject({ step: 'wait', reason: 'not every position is known' });
});

test('an instance on another history or behind the start of the term is no candidate', () => {
  const diverged = createInstance('a', 4, 81);
  const lagging = createInstance('b', 4, 79);
  expect(rules.decide(createView([LOST, diverged, lagging]))).toMatchObject({ step: 'wait' });
  const atStart = createInstance('b', 4, 80);
  expect(rules.decide(createView([LOST, diverged, atStart]))).toMatchObject({
    step: 'promote',
    ...{ instance: 'b', required: 80 },
  });
});

test('an instance that is leaving or out of service is not promoted', () => {
  const leaving = createInstance('a', 5, 110, { leaving: true });
  const outOfService = createInstance('b', 5, 110, { inService: false });
  const holder = createHolder(100, true);
  expect(rules.decide(createView([LOST, leaving, outOfService], { holder }))).toMatchObject({
    step: 'wait',
  });
});

test('a promotion waits for an unresponsive instance unless it was leaving before the term began', () => {
  const known = createInstance('a', 5, 100);
  const createLeaving = (revision: number) => ({
    ...createUnresponsive('b', 5, 90),
    ...{ leaving: true, leavingRevision: toRevision(revision) },
  });
  expect(rules.decide(createView([LOST, known, createLeaving(51)]))).toMatchObject({
    step: 'wait',
  });
  expect(rules.decide(createView([LOST, known, createLeaving(49)]))).toMatchObject({
    step: 'promote',
  });
});

test('with acknowledgement by the primary alone, a promotion does not wait for every position', () => {
  const instances = [LOST, createInstance('a', 5, 95), createUnresponsive('b', 5, 99)];
  const view = createView(instances, { acknowledgement: Acknowledgement.Primary });
  expect(rules.decide(view)).toMatchObject({ step: 'promote', instance: 'a', required: 0 });
});

test('a planned move waits for a replica at the last position of the primary', () => {
  const primary = createPrimary({ phase: PrimaryPhase.Moving });
  const change = { primary, holder: createHolder(100, true), movingSinceMs: NOW_MS - 100 };
  const own = announcedAs(createInstance('p', 5, 110), InstanceRole.Primary);
  const view = (position: number) =>
    createView([own, createInstance('a', 5, position), createInstance('b', 5, 90)], change);
  expect(rules.decide(view(109))).toMatchObject({ step: 'wait' });
  expect(rules.decide(view(110))).toMatchObject({ step: 'promote', instance: 'a', required: 110 });
});

test('an unfinished promotion continues until its timeout, then another instance is promoted under a higher term', () => {
  const base = { term: toTerm(5), instance: toInstanceId('p'), required: toLogPosition(100) };
  const change = { phase: PrimaryPhase.Promoting, term: toTerm(6), base } as const;
  const primary = createPrimary({ ...change, instance: toInstanceId('a') });
  const instances = [LOST, createUnresponsive('a', 5, 105), createInstance('b', 5, 100)];
  expect(rules.decide(createView(instances, { primary }))).toMatchObject({ step: 'order' });
  const order = (ageMs: number) => {
    const firstMs = NOW_MS - ageMs;
    return { term: toTerm(6), firstMs, lastMs: NOW_MS - 10, failed: false, unsettledCount: 1 };
  };
  const recent = createView(instances, { primary, order: order(100) });
  expect(rules.decide(recent)).toMatchObject({ step: 'wait' });
  const overdue = createView(instances, { primary, order: order(2000) });
  expect(rules.decide(overdue)).toMatchObject({ step: 'promote', instance: 'b', term: 7 });
  const behind = [LOST, createUnresponsive('a', 5, 105), createInstance('b', 5, 99)];
  const blocked = createView(behind, { primary, order: order(2000) });
  expect(rules.decide(blocked)).toMatchObject({ step: 'wait' });
});

test('a new group keeps its announced primary, or gets the instance with the furthest log point', () => {
  const first = { primary: undefined, firstSeenMs: NOW_MS - 3000 };
  const own = announcedAs(createInstance('p', 3, 10), InstanceRole.Primary);
  const old = announcedAs(createInstance('a', 2, 30), InstanceRole.Primary);
  const replica = createInstance('b', 3, 9);
  expect(rules.decide(createView([old, own, replica], first))).toMatchObject({
    step: 'record',
    ...{ instance: 'p', term: 3 },
  });
  const replicas = [createInstance('a', 3, 8), replica];
  expect(rules.decide(createView(replicas, first))).toMatchObject({
    step: 'promote',
    ...{ instance: 'b', term: 4, required: 9 },
  });
  const unresponsive = [createUnresponsive('a', 3, 8), replica];
  expect(rules.decide(createView(unresponsive, first))).toMatchObject({ step: 'wait' });
});
