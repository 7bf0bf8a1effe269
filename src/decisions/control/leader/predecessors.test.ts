import { expect, test } from 'vitest';
import {
  toFailureDomain,
  toGroupId,
  toHostId,
  toIncarnation,
  toLeaseId,
  toRevision,
} from '../../../common/ids/index.js';
import { CommandKind, ControlState, type LeaseRenewal } from '../index.js';
import { ControlInputKind, ControlLeader, ControlOutputKind } from './index.js';

const GROUP = toGroupId('g');
const ADDRESS = '10.0.0.1:7400';
const ASSIGNED = 5;

/** A leader over a state in which lease `old.1` of host `edge-1` holds a group since revision 5. */
function createLeader() {
  const state = new ControlState();
  const holder = { host: toHostId('edge-1'), lease: toLeaseId('old.1'), address: ADDRESS };
  const command = { kind: CommandKind.AssignGroup, group: GROUP, holder } as const;
  state.apply({ ...command, expected: toRevision(0) }, toRevision(ASSIGNED));
  const leader = new ControlLeader(state);
  leader.handle(
    { kind: ControlInputKind.BecameLeader, host: toHostId('control-1'), controlTerm: 2 },
    0,
  );
  return leader;
}

function renew(revision: number, change: Partial<LeaseRenewal> = {}): readonly string[] {
  const renewal: LeaseRenewal = {
    host: toHostId('edge-1'),
    incarnation: toIncarnation('new'),
    lease: toLeaseId('new.1'),
    domain: toFailureDomain('north'),
    address: ADDRESS,
    ...{ sequence: 1, answered: 0, sinceAnsweredMs: 0, revision: toRevision(revision) },
    ...{ announcements: [], reports: [], releasedGroups: [], releasedAccounts: [] },
    stopping: false,
    ...change,
  };
  const input = { kind: ControlInputKind.Renewal, renewal, mayGrant: true } as const;
  return createLeader()
    .handle(input, 10)
    .flatMap((output) =>
      output.kind === ControlOutputKind.Propose && output.command.kind === CommandKind.RetireLease
        ? [output.command.lease]
        : [],
    );
}

test('a daemon that applied an assignment to another lease of its address retires it', () => {
  expect(renew(ASSIGNED)).toEqual(['old.1']);
});

test('a delayed renewal of an earlier process without that assignment retires nothing', () => {
  expect(renew(ASSIGNED - 1)).toEqual([]);
});

test('a renewal of the lease itself, of another host or of another address retires nothing', () => {
  expect(renew(ASSIGNED, { lease: toLeaseId('old.1') })).toEqual([]);
  expect(renew(ASSIGNED, { host: toHostId('edge-2') })).toEqual([]);
  expect(renew(ASSIGNED, { address: '10.0.0.2:7400' })).toEqual([]);
});
