import { beforeEach, expect, test } from 'vitest';
import {
  toFailureDomain,
  toGroupId,
  toHostId,
  toInstanceId,
  toLogPosition,
  toRevision,
  toTerm,
} from '../../../common/ids/index.js';
import { DEFAULT_PROMOTION_SETTINGS } from '../../promotion/index.js';
import { CommandKind, ControlState, RecordKind, type Command } from '../index.js';
import { DEFAULT_CONTROL_SETTINGS } from './controlSettings.js';
import {
  ControlInputKind,
  ControlLeader,
  ControlOutputKind,
  type ControlInput,
  type ControlOutput,
} from './index.js';

const GROUP = toGroupId('g');
const LIFETIME_MS = 1000;
const settings = {
  ...DEFAULT_CONTROL_SETTINGS,
  promotion: {
    ...DEFAULT_PROMOTION_SETTINGS,
    ...{ adoptsOrders: false, hasFencedOrders: false, orderLifetimeMs: LIFETIME_MS },
  },
};

let nowMs = 0;
let revision = 0;
let state: ControlState;
let leader: ControlLeader;
let orders: ControlOutput[];

/** A group in the middle of a promotion that another leader began. */
beforeEach(() => {
  nowMs = 0;
  revision = 0;
  orders = [];
  state = new ControlState();
  for (const name of ['p', 'a']) {
    const place = { domain: toFailureDomain('north'), address: `${name}:1`, platform: '' };
    const kind = RecordKind.Instance as const;
    const limits = { slots: 2, connectionLimit: 10, startedMs: 1 };
    const instance = { kind, group: GROUP, instance: toInstanceId(name), ...place, ...limits };
    apply({ kind: CommandKind.RegisterInstance, instance, expected: toRevision(0) });
  }
  const term = toTerm(1);
  const instance = toInstanceId('p');
  apply({ kind: CommandKind.RecordPrimary, group: GROUP, term, timeline: term, instance });
  beginPromotion('a', 2);
  leader = new ControlLeader(state, { settings });
  handle({ kind: ControlInputKind.BecameLeader, host: toHostId('control-1'), controlTerm: 2 });
});

function apply(command: Command) {
  revision += 1;
  return state.apply(command, toRevision(revision));
}

function handle(input: ControlInput): void {
  for (const output of leader.handle(input, nowMs)) {
    if (output.kind === ControlOutputKind.Propose) {
      const { command } = output;
      const answer = apply(command);
      const at = toRevision(revision);
      handle({ kind: ControlInputKind.Committed, command, revision: at, answer });
    } else if (output.kind === ControlOutputKind.Promote) {
      orders.push(output);
    }
  }
}

function beginPromotion(name: string, term: number): void {
  apply({
    ...{ kind: CommandKind.BeginPromotion, group: GROUP, term: toTerm(term) },
    ...{ instance: toInstanceId(name), required: toLogPosition(0), mayRunLate: true },
    ...{ expectedTerm: toTerm(term - 1), leader: toHostId('control-9') },
  });
}

function completePromotion(term: number): void {
  apply({
    ...{ kind: CommandKind.CompletePromotion, group: GROUP, term: toTerm(term) },
    ...{ timeline: toTerm(term), position: toLogPosition(0) },
  });
}

function wait(durationMs: number): void {
  for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += 50) {
    handle({ kind: ControlInputKind.Tick });
  }
}

function getUnsettled(): readonly string[] {
  return (state.getPrimary(GROUP)?.unsettled ?? []).map(
    ({ term, instance }) => `${term} ${instance}`,
  );
}

test("an earlier leader's order stays unsettled for the time that an order lives", () => {
  completePromotion(2);
  handle({ kind: ControlInputKind.Tick });
  wait(LIFETIME_MS - 100);
  expect(getUnsettled()).toEqual(['2 a']);
  wait(300);
  expect(getUnsettled()).toEqual([]);
});

test('the order of a promotion under way does not expire', () => {
  wait(2 * LIFETIME_MS);
  expect(getUnsettled()).toEqual(['2 a']);
});

test('an order of an instance that is gone is settled at once', () => {
  completePromotion(2);
  const instance = state.getInstance(GROUP, toInstanceId('a'));
  expect(instance).toBeDefined();
  if (instance !== undefined) {
    const expected = state.getRecordRevision(`instance/${GROUP}/a`);
    const gone = { ...instance, gone: true };
    apply({ kind: CommandKind.RegisterInstance, instance: gone, expected });
  }
  wait(100);
  expect(state.getInstance(GROUP, toInstanceId('a'))?.gone).toBe(true);
  expect(getUnsettled()).toEqual([]);
});

test('a completed promotion settles only the orders that it names', () => {
  beginPromotion('p', 3);
  apply({
    ...{ kind: CommandKind.CompletePromotion, group: GROUP, term: toTerm(3), timeline: toTerm(3) },
    ...{ position: toLogPosition(0), settles: [toTerm(3)] },
  });
  expect(getUnsettled()).toEqual(['2 a']);
});
