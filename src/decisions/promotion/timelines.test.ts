import { expect, test } from 'vitest';
import {
  toFailureDomain,
  toGroupId,
  toHostId,
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
  PromotionStep,
  type GroupView,
  type InstanceView,
} from './index.js';

const NOW_MS = 100_000;
const FENCE_MS = NOW_MS - 500;
const LEADER = toHostId('control-1');
const rules = new PromotionRules({ ...DEFAULT_PROMOTION_SETTINGS, adoptsOrders: false });

/** An instance that announces only its role; its log point was observed by the group's holder. */
function createInstance(
  name: string,
  position?: number,
  isPrimary = false,
  term = 4,
): InstanceView {
  const receivedAtMs = NOW_MS - 10;
  const unknown = { term: toTerm(0), position: toLogPosition(0) };
  return {
    instance: toInstanceId(name),
    domain: toFailureDomain('d'),
    ...{
      inService: true,
      leaving: false,
      leavingRevision: toRevision(0),
      restartedRevision: toRevision(0),
    },
    announced: {
      ...unknown,
      ...{ receivedAtMs, earliestReceiptMs: receivedAtMs - 5, leaving: false },
      role: isPrimary ? InstanceRole.Primary : InstanceRole.Replica,
    },
    observed:
      position === undefined
        ? undefined
        : {
            ...{ term: toTerm(term), position: toLogPosition(position) },
            ...{ reachable: true, receivedAtMs, isPrimary },
          },
  };
}

function createPrimary(change: Partial<GroupPrimary> = {}): GroupPrimary {
  return {
    kind: RecordKind.Primary,
    group: toGroupId('g'),
    ...{ term: toTerm(7), timeline: toTerm(4), instance: toInstanceId('a') },
    ...{ phase: PrimaryPhase.Serving, since: toRevision(3), history: [] },
    ...change,
  };
}

/**
 * The promotion of `b`, decided by the given leader, after position 80 was acknowledged on timeline
 * 4.
 */
function createPromoting(decidedBy: string): GroupPrimary {
  const { kind, group, history } = createPrimary();
  const base = { term: toTerm(7), timeline: toTerm(4), instance: toInstanceId('a') };
  return {
    ...{ kind, group, history, term: toTerm(8), instance: toInstanceId('b') },
    ...{ phase: PrimaryPhase.Promoting, since: toRevision(0), decidedBy: toHostId(decidedBy) },
    base: { ...base, required: toLogPosition(80) },
  };
}

function createView(
  primary: GroupPrimary | undefined,
  instances: readonly InstanceView[],
): GroupView {
  const { term = toTerm(0) } = primary ?? {};
  return {
    group: toGroupId('g'),
    nowMs: NOW_MS,
    leader: LEADER,
    ...{ leaderSinceMs: 0, acknowledgement: Acknowledgement.Synchronous, primary, instances },
    holder: {
      lease: toLeaseId('l'),
      hasHeldFullTerm: true,
      fencedTerm: term,
      fencedAtMs: FENCE_MS,
      acknowledged: toLogPosition(80),
      confirmed: toLogPosition(80),
    },
    ...{ unheldSinceMs: undefined, firstSeenMs: 0, servingSinceMs: 0, movingSinceMs: undefined },
    ...{ moveAbandonedMs: undefined, order: undefined, failedInstances: [], departed: [] },
    primaryRevision: toRevision(0),
    isolatedSinceMs: undefined,
  };
}

test('a first primary is recorded once its position was observed, with the timeline of its log', () => {
  const unseen = createView(undefined, [createInstance('a', undefined, true), createInstance('b')]);
  expect(rules.decide(unseen).step).toBe(PromotionStep.Wait);
  const seen = createView(undefined, [createInstance('a', 80, true), createInstance('b', 70)]);
  const record = { step: PromotionStep.Record, instance: 'a', term: 4, timeline: 4 };
  expect(rules.decide(seen)).toEqual(record);
});

test('a fenced primary is replaced by an instance that received every acknowledged write', () => {
  const lost = createInstance('a');
  const view = createView(createPrimary(), [
    lost,
    createInstance('b', 79),
    createInstance('c', 80),
  ]);
  expect(rules.decide(view)).toMatchObject({ step: PromotionStep.Promote, instance: 'c', term: 8 });
  const unknown = createView(createPrimary(), [lost, createInstance('b', 79), createInstance('c')]);
  expect(rules.decide(unknown).step).toBe(PromotionStep.Wait);
});

test('an instance behind the acknowledged position is not promoted, even as the only other one', () => {
  const behind = createView(createPrimary(), [createInstance('a'), createInstance('b', 79)]);
  expect(rules.decide(behind).step).toBe(PromotionStep.Wait);
});

test('writes of the primary beyond the last acknowledged one are not required', () => {
  const view = createView(createPrimary(), [createInstance('a'), createInstance('b', 79)]);
  const holder = view.holder && { ...view.holder, confirmed: toLogPosition(79) };
  const decision = rules.decide({ ...view, holder });
  expect(decision).toMatchObject({ step: PromotionStep.Promote, instance: 'b', required: 79 });
});

test('a promotion is ordered, and is complete once its instance was observed on a later timeline', () => {
  const promoting = createPromoting(LEADER);
  const ordered = createView(promoting, [createInstance('a'), createInstance('b', 80)]);
  expect(rules.decide(ordered).step).toBe(PromotionStep.Order);
  const onLaterTimeline = createView(promoting, [
    createInstance('a'),
    createInstance('b', 80, true, 5),
  ]);
  const complete = { step: PromotionStep.Complete, timeline: 5, position: 80 };
  expect(rules.decide(onLaterTimeline)).toEqual(complete);
  const onSameTimeline = createView(promoting, [
    createInstance('a'),
    createInstance('b', 80, true, 4),
  ]);
  expect(rules.decide(onSameTimeline).step).toBe(PromotionStep.Order);
});

test("another leader's order is not repeated, but superseded under a higher term", () => {
  const view = createView(createPromoting('control-2'), [
    createInstance('a'),
    createInstance('b', 80),
    createInstance('c', 90),
  ]);
  expect(rules.decide(view)).toMatchObject({ step: PromotionStep.Promote, instance: 'b', term: 9 });
});
