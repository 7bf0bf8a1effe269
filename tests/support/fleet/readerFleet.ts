import { pack, unpack } from 'msgpackr';
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
  type FailureDomain,
  type GroupId,
  type HostId,
  type InstanceId,
} from '../../../src/common/ids/index.js';
import {
  CommandKind,
  ControlInputKind,
  ControlLeader,
  ControlOutputKind,
  ControlState,
  InstanceRole,
  RecordKind,
  type Command,
  type ControlInput,
  type ControlLeaderParts,
  type ControlSnapshot,
  type LeaseRenewal,
} from '../../../src/decisions/control/index.js';
import { SubjectKind, type SubjectState } from '../../../src/decisions/tickets/index.js';

const STEP_MS = 50;
const RENEWAL_INTERVAL_MS = 250;
const SLOTS = 6;
const INSTANCES_PER_GROUP = 3;

/** A host of a fleet whose links matter. */
export interface ReaderHost {
  readonly host: HostId;
  readonly domain: FailureDomain;
  readonly linkBytesPerSecond: number | undefined;
  /** Counts its processes; each has leases of its own. */
  life: number;
  isAlive: boolean;
  isStopping: boolean;
  lastRenewalMs: number;
}

/** The size of a fleet, and the rate of each host's link where it is known. */
export interface ReaderFleetOptions {
  readonly links: readonly (number | undefined)[];
  readonly groups: number;
  readonly domains: number;
  readonly leaderParts: ControlLeaderParts;
}

/** A control leader over hosts that renew, come and go; what it proposes is committed a step later. */
export class ReaderFleet {
  nowMs = 0;
  leaderSinceMs = 0;
  /** When anything but a reader changed. */
  lastCauseMs = 0;
  readonly hosts: ReaderHost[];
  readonly groups: GroupId[];
  readonly domains: FailureDomain[];
  state = new ControlState();
  /** Reader commands of the last input, by group. */
  readonly commands = new Map<GroupId, number>();
  /** Readers assigned or taken away so far. */
  changes = 0;
  lastChangeMs = 0;
  private leader: ControlLeader;
  private queue: Command[] = [];
  private revision = 0;
  private sequence = 0;
  private tickets = 0;
  private leaders = 0;

  constructor(private readonly options: ReaderFleetOptions) {
    this.domains = Array.from({ length: options.domains }, (_, index) =>
      toFailureDomain(`d${index}`),
    );
    this.hosts = options.links.map((linkBytesPerSecond, index) => ({
      ...{ host: toHostId(`h${index}`), domain: this.getDomain(index), linkBytesPerSecond },
      ...{ life: 1, isAlive: true, isStopping: false, lastRenewalMs: -Infinity },
    }));
    this.groups = Array.from({ length: options.groups }, (_, index) => toGroupId(`g${index}`));
    this.groups.forEach((group, index) => this.addGroup(group, index));
    this.leader = this.lead();
  }

  /** Runs for a time; `check` is called after each step. */
  run(durationMs: number, check: () => void): void {
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.nowMs += STEP_MS;
      for (const command of this.queue.splice(0)) {
        this.commit(command);
      }
      for (const host of this.hosts) {
        if (host.isAlive && this.nowMs - host.lastRenewalMs >= RENEWAL_INTERVAL_MS) {
          this.renew(host);
        }
      }
      this.handle({ kind: ControlInputKind.Tick });
      check();
    }
  }

  /** Another control host leads from now on, with a copy of the state. */
  changeLeader(): void {
    const snapshot = unpack(pack(this.state.createSnapshot())) as ControlSnapshot;
    this.state = new ControlState();
    this.state.restore(snapshot);
    this.queue = [];
    this.leader = this.lead();
  }

  /** Starts a host again, with another lease. */
  restart(host: ReaderHost): void {
    Object.assign(host, { isAlive: true, isStopping: false, lastRenewalMs: -Infinity });
    host.life += 1;
  }

  /** Puts a subject in force. */
  submit(subject: SubjectState): void {
    this.tickets += 1;
    const ticket = { number: toTicketNumber(this.tickets), subjects: [subject] };
    this.commit({ kind: CommandKind.SubmitTicket, ticket });
  }

  /** Says whether a replica is leaving. */
  setLeaving(group: GroupId, instance: InstanceId, leaving: boolean): void {
    this.submit({ kind: SubjectKind.BackendServer, group, instance, leaving });
  }

  /** Makes another instance of a group primary. */
  promote(group: GroupId, index: number): void {
    const primary = this.state.getPrimary(group);
    const instance = this.getInstances(group)[index % INSTANCES_PER_GROUP];
    const lease = this.state.getGroupAssignment(group)?.holder?.lease;
    if (primary === undefined || instance === undefined || instance === primary.instance) {
      return;
    }
    const term = toTerm(primary.term + 1);
    const position = toLogPosition(0);
    const begun = { group, term, instance, required: position, expectedTerm: primary.term };
    const expected = lease === undefined ? {} : { expectedLease: lease };
    this.commit({ kind: CommandKind.BeginPromotion, ...begun, ...expected });
    this.commit({ kind: CommandKind.CompletePromotion, group, term, position });
  }

  /** The names of a group's instances. */
  getInstances(group: GroupId): InstanceId[] {
    return Array.from({ length: INSTANCES_PER_GROUP }, (_, index) =>
      toInstanceId(`${group}i${index}`),
    );
  }

  /** The host of that name. */
  find(host: HostId | undefined): ReaderHost | undefined {
    return this.hosts.find((each) => each.host === host);
  }

  private getDomain(index: number): FailureDomain {
    return toFailureDomain(`d${index % this.options.domains}`);
  }

  private addGroup(group: GroupId, offset: number): void {
    for (const [index, instance] of this.getInstances(group).entries()) {
      this.apply({
        kind: CommandKind.RegisterInstance,
        instance: {
          ...{ kind: RecordKind.Instance, group, instance, domain: this.getDomain(offset + index) },
          ...{ address: instance, platform: instance, slots: SLOTS, connectionLimit: 15 },
        },
        expected: toRevision(0),
      });
    }
    const [instance = toInstanceId('')] = this.getInstances(group);
    this.apply({ kind: CommandKind.RecordPrimary, group, term: toTerm(1), instance });
  }

  private lead(): ControlLeader {
    this.leaders += 1;
    this.leaderSinceMs = this.nowMs;
    this.lastCauseMs = this.nowMs;
    const leader = new ControlLeader(this.state, this.options.leaderParts);
    this.leader = leader;
    const host = toHostId(`control-${this.leaders}`);
    this.handle({ kind: ControlInputKind.BecameLeader, host, controlTerm: this.leaders });
    return leader;
  }

  private apply(command: Command) {
    this.revision += 1;
    return this.state.apply(command, toRevision(this.revision));
  }

  private commit(command: Command): void {
    const answer = this.apply(command);
    if (answer.changed && command.kind === CommandKind.AssignReader) {
      this.changes += 1;
      this.lastChangeMs = this.nowMs;
    } else if (answer.changed) {
      this.lastCauseMs = this.nowMs;
    }
    const revision = toRevision(this.revision);
    this.handle({ kind: ControlInputKind.Committed, command, revision, answer });
  }

  private handle(input: ControlInput): void {
    this.commands.clear();
    for (const output of this.leader.handle(input, this.nowMs)) {
      if (output.kind === ControlOutputKind.Propose) {
        this.queue.push(output.command);
        if (output.command.kind === CommandKind.AssignReader) {
          const { group } = output.command;
          this.commands.set(group, (this.commands.get(group) ?? 0) + 1);
        }
      }
    }
  }

  private renew(host: ReaderHost): void {
    this.sequence += 1;
    host.lastRenewalMs = this.nowMs;
    const lease = toLeaseId(`${host.host}.${host.life}`);
    const { linkBytesPerSecond: link, domain, isStopping: stopping } = host;
    const held = this.state
      .getAssignments(lease)
      .filter(({ kind }) => kind === RecordKind.GroupHolder);
    const released = held.filter((each) => 'draining' in each && (each.draining || stopping));
    const renewal: LeaseRenewal = {
      ...{ host: host.host, incarnation: toIncarnation(lease), lease, domain, stopping },
      ...{ address: host.host, sequence: this.sequence, answered: 0, sinceAnsweredMs: 0 },
      revision: this.state.changeRevision,
      announcements: this.groups.flatMap((group) => this.announce(group)),
      reports: [],
      releasedGroups: released.map((each) => ('group' in each ? each.group : toGroupId(''))),
      releasedAccounts: [],
      ...(link === undefined ? {} : { linkBytesPerSecond: link }),
    };
    this.handle({ kind: ControlInputKind.Renewal, renewal, mayGrant: true });
    if (this.state.isRetired(lease)) {
      host.life += 1;
    }
  }

  private announce(group: GroupId): LeaseRenewal['announcements'] {
    const primary = this.state.getPrimary(group);
    return this.state.getInstances(group).map((record) => {
      const { instance, domain, address, platform, slots, connectionLimit } = record;
      const isPrimary = primary?.instance === instance;
      const announcement = {
        ...{ group, instance, domain, address, platform, slots, connectionLimit },
        role: isPrimary ? InstanceRole.Primary : InstanceRole.Replica,
        ...{ term: primary?.term ?? toTerm(1), position: toLogPosition(1), leaving: false },
      };
      return { announcement, ageMs: 0 };
    });
  }
}
