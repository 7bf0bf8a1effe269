import { expect, test } from 'vitest';
import {
  toFailureDomain,
  toGroupId,
  toHostId,
  toIncarnation,
  toInstanceId,
  toLeaseId,
  toRevision,
  toTerm,
  type GroupId,
} from '../../../common/ids/index.js';
import { CommandKind, ControlState, type Command, type LeaseRenewal } from '../index.js';
import {
  ControlInputKind,
  ControlLeader,
  ControlOutputKind,
  DEFAULT_CONTROL_SETTINGS,
  type ControlInput,
} from './index.js';

const GROUP = toGroupId('g');
const LEASE_MS = DEFAULT_CONTROL_SETTINGS.lease.lengthMs;
const STEP_MS = 50;

/**
 * A leader whose proposals are committed at once; hosts `edge-1` and `edge-2` hold one group each.
 */
class TestControl {
  readonly state = new ControlState();
  private readonly leader: ControlLeader;
  private revision = 1;

  constructor() {
    this.assign(GROUP, 'edge-1');
    this.assign(toGroupId('other'), 'edge-2');
    this.leader = new ControlLeader(this.state);
    const host = toHostId('control-1');
    this.handle({ kind: ControlInputKind.BecameLeader, host, controlTerm: 1 }, 0);
  }

  get holder(): string | undefined {
    return this.state.getGroupAssignment(GROUP)?.holder?.host;
  }

  renew(host: string, leaseNumber: number, sequence: number, nowMs: number): void {
    const renewal: LeaseRenewal = {
      host: toHostId(host),
      incarnation: toIncarnation(host),
      lease: toLeaseId(`${host}.${leaseNumber}`),
      domain: toFailureDomain('north'),
      address: host,
      ...{ sequence, answered: 0, sinceAnsweredMs: 0, revision: toRevision(this.revision) },
      ...{ announcements: [], reports: [], releasedGroups: [], releasedAccounts: [] },
      stopping: false,
    };
    this.handle({ kind: ControlInputKind.Renewal, renewal, mayGrant: true }, nowMs);
  }

  tick(nowMs: number): void {
    this.handle({ kind: ControlInputKind.Tick }, nowMs);
  }

  private assign(group: GroupId, host: string): void {
    const holder = { host: toHostId(host), lease: toLeaseId(`${host}.1`), address: host };
    const expected = toRevision(0);
    this.apply({ kind: CommandKind.AssignGroup, group, holder, expected });
    const instance = toInstanceId(group);
    this.apply({ kind: CommandKind.RecordPrimary, group, term: toTerm(1), instance });
  }

  private apply(command: Command): void {
    this.revision += 1;
    this.state.apply(command, toRevision(this.revision));
  }

  private handle(input: ControlInput, nowMs: number): void {
    for (const output of this.leader.handle(input, nowMs)) {
      if (output.kind === ControlOutputKind.Propose) {
        this.revision += 1;
        const revision = toRevision(this.revision);
        const { command } = output;
        const answer = this.state.apply(command, revision);
        this.handle({ kind: ControlInputKind.Committed, command, revision, answer }, nowMs);
      }
    }
  }
}

test('a group moves away from a host that lost its lease, even if it has a new one', () => {
  const control = new TestControl();
  for (let nowMs = STEP_MS; nowMs <= 3 * LEASE_MS; nowMs += STEP_MS) {
    control.renew('edge-2', 1, nowMs, nowMs);
    if (nowMs <= LEASE_MS / 2) {
      control.renew('edge-1', 1, nowMs, nowMs);
    } else if (nowMs > LEASE_MS) {
      // The host was paused for longer than its lease lasted and then requested the next one.
      control.renew('edge-1', 2, nowMs, nowMs);
    }
    control.tick(nowMs);
  }
  expect(control.holder).toBe('edge-2');
});
