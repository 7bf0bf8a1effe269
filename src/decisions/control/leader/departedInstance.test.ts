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
const HEARTBEAT_MS = 100;
/** Number of heartbeats in three times the interval after which an instance counts as missing. */
const HEARTBEATS = Math.ceil((3 * missingMs) / HEARTBEAT_MS);
const MAXIMUM_DATE_MS = 8_640_000_000_000_000;

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

function createAnnouncement(
  name: string,
  startedMs: number,
  fields: Partial<Announcement> = {},
): Announcement {
  return {
    ...{ group: GROUP, instance: toInstanceId(name), domain: toFailureDomain('north') },
    ...{ address: `${name}:1`, platform: '', role: InstanceRole.Replica },
    ...{ term: toTerm(0), position: toLogPosition(0), slots: 2, connectionLimit: 10 },
    ...{ leaving: false, startedMs, ...fields },
  };
}

/**
 * Advances time by one heartbeat interval and sends the renewal of a host with what it received.
 */
function sendHeartbeat(
  announcements: readonly Announcement[],
  departures: readonly Departure[] = [],
): void {
  nowMs += HEARTBEAT_MS;
  sequence += 1;
  handle({
    kind: ControlInputKind.Renewal,
    mayGrant: true,
    renewal: {
      ...{ host: toHostId('edge-1'), incarnation: toIncarnation('edge-1') },
      ...{ lease: toLeaseId('edge-1.1'), domain: toFailureDomain('north'), address: 'edge-1' },
      ...{ sequence, answered: sequence - 1, sinceAnsweredMs: HEARTBEAT_MS },
      ...{ revision: toRevision(revision), releasedGroups: [], releasedAccounts: [] },
      announcements: announcements.map((announcement) => ({ announcement, ageMs: 0 })),
      ...{ reports: [], stopping: true, departures },
    },
  });
  handle({ kind: ControlInputKind.Tick });
}

function sendHeartbeats(count: number, get: () => readonly Announcement[]): void {
  for (let index = 0; index < count; index += 1) {
    sendHeartbeat(get());
  }
}

function isGone(name: string): boolean | undefined {
  const instance = state.getInstance(GROUP, toInstanceId(name));
  return instance === undefined ? undefined : instance.gone === true;
}

test('a delayed departure of an earlier incarnation does not retire the current one', () => {
  sendHeartbeat([createAnnouncement('a', 1)]);
  sendHeartbeat([createAnnouncement('a', 2)], [{ instance: toInstanceId('a'), startedMs: 1 }]);
  expect(isGone('a')).toBe(false);
  sendHeartbeat([createAnnouncement('a', 2)], [{ instance: toInstanceId('a'), startedMs: 2 }]);
  expect(isGone('a')).toBe(true);
});

test('an instance reported as gone is used again if it keeps announcing itself', () => {
  for (const startedMs of [1, MAXIMUM_DATE_MS]) {
    sendHeartbeat([createAnnouncement('a', startedMs)]);
    sendHeartbeat([], [{ instance: toInstanceId('a') }]);
    expect(isGone('a')).toBe(true);
    sendHeartbeat([createAnnouncement('a', 1, { sequence: 2 ** 48 })]);
    sendHeartbeats(2 * HEARTBEATS, () => [createAnnouncement('a', 1, { sequence })]);
    expect(isGone('a')).toBe(false);
  }
});

test('delayed announcements of an instance that is gone do not mark it as running', () => {
  sendHeartbeat([createAnnouncement('a', 1, { sequence: 9 })]);
  sendHeartbeat([], [{ instance: toInstanceId('a') }]);
  for (const late of [5, 7, 10, 11]) {
    sendHeartbeat([createAnnouncement('a', 1, { sequence: late })]);
  }
  sendHeartbeats(HEARTBEATS, () => []);
  sendHeartbeat([createAnnouncement('a', 1, { sequence: 12 })]);
  sendHeartbeats(HEARTBEATS, () => [createAnnouncement('a', 1, { sequence: 12 })]);
  expect(isGone('a')).toBe(true);
});

test('an instance that announces itself as leaving until it ends stays gone', () => {
  sendHeartbeat([createAnnouncement('a', 1)]);
  sendHeartbeat([], [{ instance: toInstanceId('a') }]);
  sendHeartbeats(HEARTBEATS, () => [createAnnouncement('a', 1, { sequence, leaving: true })]);
  expect(isGone('a')).toBe(true);
});

test('an announcement of the address of a running instance does not retire it', () => {
  sendHeartbeat([createAnnouncement('a', 1, { sequence })]);
  sendHeartbeat([
    createAnnouncement('odd', MAXIMUM_DATE_MS, { address: 'a:1' }),
    createAnnouncement('a', 1, { sequence }),
  ]);
  sendHeartbeats(HEARTBEATS, () => [createAnnouncement('a', 1, { sequence })]);
  expect(isGone('a')).toBe(false);
});

test('an instance that starts at the address of a missing one replaces it', () => {
  sendHeartbeat([createAnnouncement('a', 1, { sequence })]);
  sendHeartbeats(HEARTBEATS, () => [createAnnouncement('b', 2, { address: 'a:1', sequence })]);
  expect([isGone('a'), isGone('b')]).toEqual([true, false]);
});

test('an instance is used again after a single announcement with an impossible start or sequence', () => {
  for (const fields of [{ startedMs: MAXIMUM_DATE_MS }, { sequence: 2 ** 48 }]) {
    const seen = () => leader.getStatus(nowMs).groups[0]?.instances[0]?.announcedAgoMs;
    sendHeartbeat([createAnnouncement('a', 1, { sequence })]);
    sendHeartbeat([createAnnouncement('a', 1, { sequence, ...fields })]);
    sendHeartbeats(HEARTBEATS, () => [createAnnouncement('a', 1, { sequence })]);
    expect([isGone('a'), seen()]).toEqual([false, 0]);
    expect(state.getInstance(GROUP, toInstanceId('a'))?.startedMs).toBe(1);
  }
});

test('an announcement of a group that the configuration does not name creates no group', () => {
  const group = toGroupId('odd');
  const named = { kind: SubjectKind.Group, group: GROUP, transactionLimitMs: 1000 } as const;
  const groups = [{ ...named, acknowledgement: Acknowledgement.Primary }];
  const kind = SubjectKind.Configuration;
  const configuration = { kind, routes: [], accounts: [], groups, source: '' } as const;
  const ticket = { number: toTicketNumber(1), subjects: [configuration] };
  state.apply({ kind: CommandKind.SubmitTicket, ticket }, toRevision(1));
  sendHeartbeat([createAnnouncement('a', 1, { group }), createAnnouncement('a', 1)]);
  expect(state.getGroups()).toEqual([GROUP]);
  expect(leader.getStatus(nowMs).groups.map((each) => each.group)).toEqual([GROUP]);
});
