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
import { Acknowledgement, SubjectKind } from '../../tickets/index.js';
import {
  CommandKind,
  ControlState,
  InstanceRole,
  type Command,
  type GroupReport,
  type InstanceObservation,
} from '../index.js';
import { DEFAULT_PROMOTION_SETTINGS } from '../../promotion/index.js';
import { ControlInputKind, ControlLeader, ControlOutputKind, type ControlInput } from './index.js';

const GROUP = toGroupId('g');
const STEP_MS = 50;
const INSTANCES = ['p', 'a', 'b'];
const LEASE = toLeaseId('edge-1.1');

let nowMs = 0;
let revision = 0;
let sequence = 0;
let state: ControlState;
let leader: ControlLeader;
let promoted: string[];
let hostSequence = 0;

/** A group whose primary acknowledges by itself, taken over in mid-term by `edge-1`. */
beforeEach(() => {
  nowMs = 0;
  revision = 0;
  sequence = 0;
  promoted = [];
  state = new ControlState();
  const group = {
    kind: SubjectKind.Group,
    group: GROUP,
    acknowledgement: Acknowledgement.Synchronous,
    transactionLimitMs: 1000,
  } as const;
  const ticket = { number: toTicketNumber(1), subjects: [group] };
  apply({ kind: CommandKind.SubmitTicket, ticket });
  for (const name of INSTANCES) {
    apply({
      kind: CommandKind.RegisterInstance,
      instance: createRecord(name),
      expected: toRevision(0),
    });
  }
  const primary = { group: GROUP, term: toTerm(1), timeline: toTerm(1) };
  apply({ kind: CommandKind.RecordPrimary, ...primary, instance: toInstanceId('p') });
  apply({
    kind: CommandKind.AssignGroup,
    group: GROUP,
    holder: { host: toHostId('edge-1'), lease: LEASE, address: 'edge-1' },
    expected: toRevision(0),
  });
  leader = new ControlLeader(state);
  handle({ kind: ControlInputKind.BecameLeader, host: toHostId('control-1'), controlTerm: 1 });
});

function createRecord(name: string) {
  const { platform, domain, group, instance, address, slots, connectionLimit, startedMs } =
    createAnnouncement(name);
  const limits = { slots, connectionLimit, startedMs };
  return { kind: 'instance', group, instance, domain, address, platform, ...limits } as never;
}

function createAnnouncement(name: string, leaving = false) {
  return {
    ...{ group: GROUP, instance: toInstanceId(name), domain: toFailureDomain('north') },
    ...{ address: `10.0.0.${INSTANCES.indexOf(name) + 1}:5432`, platform: '', startedMs: 1 },
    ...{ role: name === 'p' ? InstanceRole.Primary : InstanceRole.Replica },
    ...{ term: toTerm(0), position: toLogPosition(0), slots: 2, connectionLimit: 10, leaving },
    sequence,
  };
}

function apply(command: Command) {
  revision += 1;
  return state.apply(command, toRevision(revision));
}

function handle(input: ControlInput): void {
  for (const output of leader.handle(input, nowMs)) {
    if (output.kind === ControlOutputKind.Propose) {
      const { command } = output;
      const answer = apply(command);
      if (command.kind === CommandKind.BeginPromotion && answer.changed) {
        promoted.push(command.instance);
      }
      handle({
        kind: ControlInputKind.Committed,
        command,
        revision: toRevision(revision),
        answer,
      });
    }
  }
}

function observe(name: string, position: number | undefined): InstanceObservation {
  return {
    ...{ instance: toInstanceId(name), reachable: position !== undefined, isPrimary: name === 'p' },
    ...{ term: toTerm(1), position: toLogPosition(position ?? 0) },
  };
}

/** Has the holder renew its lease for a time, with a report on the group. */
function renew(
  report: Partial<GroupReport>,
  leaving: readonly string[] = [],
  departures: readonly string[] = [],
  steps = 40,
): void {
  for (let step = 0; step < steps; step += 1) {
    nowMs += STEP_MS;
    sequence += 1;
    handle({
      kind: ControlInputKind.Renewal,
      mayGrant: true,
      renewal: {
        ...{ host: toHostId('edge-1'), incarnation: toIncarnation('edge-1'), lease: LEASE },
        ...{ domain: toFailureDomain('north'), address: 'edge-1', stopping: false },
        ...{ sequence, answered: sequence - 1, sinceAnsweredMs: STEP_MS },
        ...{ revision: toRevision(revision), releasedGroups: [], releasedAccounts: [] },
        announcements: INSTANCES.filter((name) => !departures.includes(name)).map((name) => ({
          announcement: createAnnouncement(name, leaving.includes(name)),
          ageMs: 0,
        })),
        departures: departures.map((name) => ({ instance: toInstanceId(name), startedMs: 1 })),
        reports: [
          {
            ...{ group: GROUP, fencedTerm: toTerm(0) },
            ...{ acknowledged: toLogPosition(0), confirmed: toLogPosition(0), sightings: [] },
            ...report,
          },
        ],
      },
    });
    handle({ kind: ControlInputKind.Tick });
  }
}

/** Has another host, which holds nothing, renew its lease. */
function addHost(name: string): void {
  hostSequence += 1;
  handle({
    kind: ControlInputKind.Renewal,
    mayGrant: true,
    renewal: {
      ...{ host: toHostId(name), incarnation: toIncarnation(name), lease: toLeaseId(`${name}.1`) },
      ...{ domain: toFailureDomain('south'), address: name, stopping: false },
      ...{ sequence: hostSequence, answered: hostSequence - 1, sinceAnsweredMs: STEP_MS },
      revision: toRevision(revision),
      ...{ releasedGroups: [], releasedAccounts: [], announcements: [], reports: [] },
    },
  });
}

function isDraining(): boolean | undefined {
  return state.getGroupAssignment(GROUP)?.draining;
}

const fencedTerm = toTerm(1);

test('a replica that is leaving counts for what the primary acknowledged', () => {
  renew({ sightings: [observe('p', 100), observe('a', 90), observe('b', 100)] }, ['b']);
  const sightings = [observe('p', undefined), observe('a', 90), observe('b', undefined)];
  renew({ fencedTerm, sightings }, ['b']);
  expect(promoted).toEqual([]);
  renew({ fencedTerm, sightings: [...sightings.slice(0, 2), observe('b', 90)] }, ['b']);
  expect(promoted).toEqual(['a']);
});

test('a replica that left with its log during the term permits no promotion', () => {
  renew({ sightings: [observe('p', 100), observe('a', 90), observe('b', 100)] }, ['b']);
  renew({}, ['b'], ['b']);
  renew({ fencedTerm, sightings: [observe('p', undefined), observe('a', 90)] }, [], ['b']);
  expect(promoted).toEqual([]);
});

test('a promotion does not wait for a log that its holder found on another replica', () => {
  renew({ sightings: [observe('p', 100), observe('a', 90), observe('b', 100)] }, ['b']);
  renew({}, ['b'], ['b']);
  expect(state.getUncoveredLogs(GROUP).map(({ instance }) => instance)).toEqual(['b']);
  renew({ coveredRevision: toRevision(revision) }, [], ['b']);
  expect(state.getUncoveredLogs(GROUP)).toEqual([]);
  renew({ fencedTerm, sightings: [observe('p', undefined), observe('a', 100)] }, [], ['b']);
  expect(promoted).toEqual(['a']);
});

test('a group that is promoted again and again waits between promotions', () => {
  const { maximumPromotions } = DEFAULT_PROMOTION_SETTINGS;
  const sightings = [observe('p', undefined), observe('a', 100), observe('b', 100)];
  for (let round = 0; round < 3 * maximumPromotions; round += 1) {
    renew({ fencedTerm: toTerm(round + 1), sightings }, [], [], 20);
  }
  expect(promoted).toHaveLength(maximumPromotions);
});

test('a group whose holder reaches the primary alone moves once another host is there', () => {
  const alone = [observe('p', 100), observe('a', undefined), observe('b', undefined)];
  renew({ sightings: alone });
  expect(isDraining()).toBe(false);
  addHost('edge-2');
  renew({ sightings: alone }, [], [], 2);
  expect(isDraining()).toBe(true);
});

test('a group does not move for a moment without replicas, nor while the holder reaches one', () => {
  addHost('edge-2');
  const alone = [observe('p', 100), observe('a', undefined), observe('b', undefined)];
  const reached = [observe('p', 100), observe('a', 90), observe('b', undefined)];
  for (let round = 0; round < 5; round += 1) {
    renew({ sightings: alone }, [], [], 8);
    addHost('edge-2');
    renew({ sightings: reached }, [], [], 8);
  }
  expect(isDraining()).toBe(false);
});
