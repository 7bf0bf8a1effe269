import { beforeEach, expect, test } from 'vitest';
import {
  toFailureDomain,
  toGroupId,
  toHostId,
  toIncarnation,
  toInstanceId,
  toLeaseId,
  toLogPosition,
  toRevision,
  toTerm,
  toTicketNumber,
} from '../../../common/ids/index.js';
import {
  CommandKind,
  ControlState,
  InstanceRole,
  type Announcement,
  type Departure,
} from '../index.js';
import { Acknowledgement, SubjectKind } from '../../tickets/index.js';
import {
  ControlInputKind,
  ControlLeader,
  ControlOutputKind,
  DEFAULT_CONTROL_SETTINGS,
  type ControlInput,
} from './index.js';

const GROUP = toGroupId('g');
const { missingMs } = DEFAULT_CONTROL_SETTINGS.promotion;
const BEAT_MS = 100;
/** Heartbeats within the time after which a silent instance is missing, and some more. */
const BEATS = Math.ceil((3 * missingMs) / BEAT_MS);
const HIGH_MS = 8_640_000_000_000_000;

let nowMs = 0;
let sequence = 0;
let revision = 1;
let state: ControlState;
let leader: ControlLeader;

beforeEach(() => {
  nowMs = 0;
  sequence = 0;
  revision = 1;
  state = new ControlState();
  leader = new ControlLeader(state);
  handle({ kind: ControlInputKind.BecameLeader, host: toHostId('control-1'), controlTerm: 1 });
});

function handle(input: ControlInput): void {
  for (const output of leader.handle(input, nowMs)) {
    if (output.kind === ControlOutputKind.Propose) {
      const { command } = output;
      revision += 1;
      const at = toRevision(revision);
      handle({
        kind: ControlInputKind.Committed,
        command,
        revision: at,
        answer: state.apply(command, at),
      });
    }
  }
}

function create(name: string, startedMs: number, fields: Partial<Announcement> = {}): Announcement {
  return {
    ...{ group: GROUP, instance: toInstanceId(name), domain: toFailureDomain('north') },
    ...{ address: `${name}:1`, platform: '', role: InstanceRole.Replica },
    ...{ term: toTerm(0), position: toLogPosition(0), slots: 2, connectionLimit: 10 },
    ...{ leaving: false, startedMs, ...fields },
  };
}

/** Passes a heartbeat interval, in which a host reports what it received. */
function beat(announcements: readonly Announcement[], departures: readonly Departure[] = []): void {
  nowMs += BEAT_MS;
  sequence += 1;
  handle({
    kind: ControlInputKind.Renewal,
    mayGrant: true,
    renewal: {
      ...{ host: toHostId('edge-1'), incarnation: toIncarnation('edge-1') },
      ...{ lease: toLeaseId('edge-1.1'), domain: toFailureDomain('north'), address: 'edge-1' },
      ...{ sequence, answered: sequence - 1, sinceAnsweredMs: BEAT_MS },
      ...{ revision: toRevision(revision), releasedGroups: [], releasedAccounts: [] },
      announcements: announcements.map((announcement) => ({ announcement, ageMs: 0 })),
      ...{ reports: [], stopping: true, departures },
    },
  });
  handle({ kind: ControlInputKind.Tick });
}

function beatOften(count: number, get: () => readonly Announcement[]): void {
  for (let index = 0; index < count; index += 1) {
    beat(get());
  }
}

function isGone(name: string): boolean | undefined {
  const instance = state.getInstance(GROUP, toInstanceId(name));
  return instance === undefined ? undefined : instance.gone === true;
}

test('a late departure of an earlier life does not end the present one', () => {
  beat([create('a', 1)]);
  beat([create('a', 2)], [{ instance: toInstanceId('a'), startedMs: 1 }]);
  expect(isGone('a')).toBe(false);
  beat([create('a', 2)], [{ instance: toInstanceId('a'), startedMs: 2 }]);
  expect(isGone('a')).toBe(true);
});

test('an instance that goes on reporting is used again, whoever said that it is gone', () => {
  for (const startedMs of [1, HIGH_MS]) {
    beat([create('a', startedMs)]);
    beat([], [{ instance: toInstanceId('a') }]);
    expect(isGone('a')).toBe(true);
    beat([create('a', 1, { sequence: 2 ** 48 })]);
    beatOften(2 * BEATS, () => [create('a', 1, { sequence })]);
    expect(isGone('a')).toBe(false);
  }
});

test('late reports of an instance that is gone do not bring it back', () => {
  beat([create('a', 1, { sequence: 9 })]);
  beat([], [{ instance: toInstanceId('a') }]);
  for (const late of [5, 7, 10, 11]) {
    beat([create('a', 1, { sequence: late })]);
  }
  beatOften(BEATS, () => []);
  beat([create('a', 1, { sequence: 12 })]);
  beatOften(BEATS, () => [create('a', 1, { sequence: 12 })]);
  expect(isGone('a')).toBe(true);
});

test('an instance that says that it leaves until it ends stays gone', () => {
  beat([create('a', 1)]);
  beat([], [{ instance: toInstanceId('a') }]);
  beatOften(BEATS, () => [create('a', 1, { sequence, leaving: true })]);
  expect(isGone('a')).toBe(true);
});

test('an entry at the address of an instance that goes on reporting does not end it', () => {
  beat([create('a', 1, { sequence })]);
  beat([create('odd', HIGH_MS, { address: 'a:1' }), create('a', 1, { sequence })]);
  beatOften(BEATS, () => [create('a', 1, { sequence })]);
  expect(isGone('a')).toBe(false);
});

test('an instance that starts at the address of a silent one is what came in its place', () => {
  beat([create('a', 1, { sequence })]);
  beatOften(BEATS, () => [create('b', 2, { address: 'a:1', sequence })]);
  expect([isGone('a'), isGone('b')]).toEqual([true, false]);
});

test('one entry with a start or a sequence that nobody reaches shuts the instance out for a moment only', () => {
  for (const fields of [{ startedMs: HIGH_MS }, { sequence: 2 ** 48 }]) {
    const seen = () => leader.getStatus(nowMs).groups[0]?.instances[0]?.announcedAgoMs;
    beat([create('a', 1, { sequence })]);
    beat([create('a', 1, { sequence, ...fields })]);
    beatOften(BEATS, () => [create('a', 1, { sequence })]);
    expect([isGone('a'), seen()]).toEqual([false, 0]);
    expect(state.getInstance(GROUP, toInstanceId('a'))?.startedMs).toBe(1);
  }
});

test('an entry of a group that the configuration does not name makes no group', () => {
  const group = toGroupId('odd');
  const named = { kind: SubjectKind.Group, group: GROUP, transactionLimitMs: 1000 } as const;
  const groups = [{ ...named, acknowledgement: Acknowledgement.Primary }];
  const kind = SubjectKind.Configuration;
  const configuration = { kind, routes: [], accounts: [], groups, source: '' } as const;
  const ticket = { number: toTicketNumber(1), subjects: [configuration] };
  state.apply({ kind: CommandKind.SubmitTicket, ticket }, toRevision(1));
  beat([create('a', 1, { group }), create('a', 1)]);
  expect(state.getGroups()).toEqual([GROUP]);
  expect(leader.getStatus(nowMs).groups.map((each) => each.group)).toEqual([GROUP]);
});
