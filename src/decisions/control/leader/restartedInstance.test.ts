import { expect, test } from 'vitest';
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
} from '../../../common/ids/index.js';
import {
  CommandKind,
  ControlState,
  InstanceRole,
  RecordKind,
  type Announcement,
  type Command,
  type LeaseRenewal,
} from '../index.js';
import {
  ControlInputKind,
  ControlLeader,
  ControlOutputKind,
  DEFAULT_CONTROL_SETTINGS,
  type ControlInput,
} from './index.js';

const GROUP = toGroupId('g');
const LEASE_MS = DEFAULT_CONTROL_SETTINGS.lease.lengthMs;
const { missingMs } = DEFAULT_CONTROL_SETTINGS.promotion;
const STEP_MS = 50;
const COMMIT_MS = 20;
/** Twice the time after which the holder's lease and the instances' announcements have run out. */
const RETURN_MS = 2 * (LEASE_MS + missingMs);

function createAnnouncement(name: string, position: number, startedMs = 1): Announcement {
  return {
    ...{ group: GROUP, instance: toInstanceId(name), domain: toFailureDomain('north') },
    ...{ address: `10.0.0.${name}:5432`, platform: 'p:1', role: InstanceRole.Replica },
    ...{ term: toTerm(1), position: toLogPosition(position), startedMs },
    ...{ slots: 2, connectionLimit: 10, leaving: false },
  };
}

/** A leader whose proposals are committed after `COMMIT_MS`. */
class TestControl {
  readonly state = new ControlState();
  readonly proposed: Command[] = [];
  private readonly leader: ControlLeader;
  private readonly pending: { readonly command: Command; readonly atMs: number }[] = [];
  private revision = 1;

  constructor() {
    for (const name of ['p', 'a', 'b']) {
      const { group, instance: id, domain, address, platform } = createAnnouncement(name, 0);
      const limits = { slots: 2, connectionLimit: 10, startedMs: 1 };
      const kind = RecordKind.Instance;
      const instance = { kind, group, instance: id, domain, address, platform, ...limits } as const;
      this.apply({ kind: CommandKind.RegisterInstance, instance, expected: toRevision(0) });
    }
    const instance = toInstanceId('p');
    this.apply({ kind: CommandKind.RecordPrimary, group: GROUP, term: toTerm(1), instance });
    const holder = { host: toHostId('edge-9'), lease: toLeaseId('edge-9.1'), address: 'edge-9' };
    this.apply({ kind: CommandKind.AssignGroup, group: GROUP, holder, expected: toRevision(0) });
    this.apply({ kind: CommandKind.RetireLease, lease: holder.lease });
    this.leader = new ControlLeader(this.state);
    const host = toHostId('control-1');
    this.handle({ kind: ControlInputKind.BecameLeader, host, controlTerm: 1 }, 0);
  }

  announce(announcements: readonly Announcement[], nowMs: number): void {
    const renewal: LeaseRenewal = {
      ...{ host: toHostId('edge-1'), incarnation: toIncarnation('edge-1') },
      ...{ lease: toLeaseId('edge-1.1'), domain: toFailureDomain('north'), address: 'edge-1' },
      ...{ sequence: nowMs, answered: nowMs - STEP_MS, sinceAnsweredMs: STEP_MS },
      ...{ revision: toRevision(this.revision), releasedGroups: [], releasedAccounts: [] },
      announcements: announcements.map((announcement) => ({ announcement, ageMs: 0 })),
      ...{ reports: [], stopping: true },
    };
    this.handle({ kind: ControlInputKind.Renewal, renewal, mayGrant: true }, nowMs);
  }

  tick(nowMs: number): void {
    while (this.pending[0] !== undefined && this.pending[0].atMs <= nowMs) {
      const { command } = this.pending.shift() as { command: Command };
      const answer = this.apply(command);
      const revision = toRevision(this.revision);
      this.handle({ kind: ControlInputKind.Committed, command, revision, answer }, nowMs);
    }
    this.handle({ kind: ControlInputKind.Tick }, nowMs);
  }

  private apply(command: Command) {
    this.revision += 1;
    return this.state.apply(command, toRevision(this.revision));
  }

  private handle(input: ControlInput, nowMs: number): void {
    for (const output of this.leader.handle(input, nowMs)) {
      if (output.kind === ControlOutputKind.Propose) {
        this.proposed.push(output.command);
        this.pending.push({ command: output.command, atMs: nowMs + COMMIT_MS });
      }
    }
  }
}

/**
 * Returns what is proposed when `b`, not announced since the loss of the primary and its holder,
 * announces itself again.
 */
function getProposalsAfterReturn(returned: Announcement): CommandKind[] {
  const control = new TestControl();
  for (let nowMs = STEP_MS; nowMs <= RETURN_MS + 2000; nowMs += STEP_MS) {
    const other = createAnnouncement('a', 90);
    if (nowMs === STEP_MS) {
      control.announce([other, createAnnouncement('b', 100), createAnnouncement('p', 120)], nowMs);
    } else {
      control.announce(nowMs < RETURN_MS ? [other] : [other, returned], nowMs);
    }
    control.tick(nowMs);
  }
  return control.proposed.map(({ kind }) => kind);
}

test('an instance restarted without its log permits no promotion, even before the restart is committed', () => {
  const kinds = getProposalsAfterReturn(createAnnouncement('b', 3, 2));
  expect(kinds).toContain(CommandKind.RegisterInstance);
  expect(kinds).not.toContain(CommandKind.BeginPromotion);
});

test('an instance that returns in the same incarnation permits a promotion', () => {
  expect(getProposalsAfterReturn(createAnnouncement('b', 100))).toContain(
    CommandKind.BeginPromotion,
  );
});
