import {
  toLogPosition,
  toTerm,
  type GroupId,
  type LogPosition,
  type Term,
} from '../../../src/common/ids/index.js';
import {
  InstanceRole,
  PrimaryPhase,
  type GroupPrimary,
} from '../../../src/decisions/control/index.js';
import type {
  GroupView,
  InstanceView,
  PendingWrite,
} from '../../../src/decisions/routing/index.js';
import { getPositionStatus, PositionStatus } from '../../../src/decisions/sessions/index.js';
import type { FakeDaemon } from './fakeDaemon.js';
import type { FakeFleet } from './fakeFleet.js';
import type { FakeInstance } from './fakeInstance.js';
import { HeldWrites } from './heldWrites.js';

const UNREACHABLE_STEPS = 20;
const WRITE_DEADLINE_MS = 2000;

/** A group that a fake daemon holds: its writes, their acknowledgement and its fence. */
export class HeldGroup {
  fencedTerm = toTerm(0);
  acknowledged: LogPosition = toLogPosition(0);
  /** Highest position acknowledged under the term that `acknowledged` counts in. */
  confirmed: LogPosition = toLogPosition(0);
  isReleased = false;
  private baseline: Term | undefined;
  private failures = 0;
  private readonly writes = new HeldWrites();

  constructor(
    readonly group: GroupId,
    readonly since: number,
    private readonly daemon: FakeDaemon,
    private readonly fleet: FakeFleet,
  ) {}

  /** What reads of the group are routed by. */
  getRoutingView(): GroupView | undefined {
    const primary = this.daemon.records.getPrimary(this.group);
    if (primary === undefined) {
      return undefined;
    }
    const acknowledged =
      this.baseline === primary.term
        ? { term: primary.term, position: this.acknowledged }
        : undefined;
    const fenced = this.fencedTerm >= primary.term;
    return { primary, fenced, acknowledged, instances: this.getViews() };
  }

  /** Writes once, if it may, and notes what the replicas have. */
  work(): void {
    const primary = this.daemon.records.getPrimary(this.group);
    if (primary === undefined || primary.phase === PrimaryPhase.Promoting) {
      return;
    }
    if (primary.phase === PrimaryPhase.Moving) {
      this.fencedTerm = primary.term;
      return;
    }
    const instance = this.fleet.getInstance(primary.instance);
    const isPrimary =
      this.daemon.canReach(instance) &&
      instance.role === InstanceRole.Primary &&
      instance.term === primary.term;
    this.failures = isPrimary ? 0 : this.failures + 1;
    if (this.failures >= UNREACHABLE_STEPS) {
      this.fencedTerm = primary.term;
      this.failures = 0;
    }
    if (isPrimary && this.fencedTerm < primary.term && this.daemon.isActing(this.group)) {
      this.write(instance);
    }
    this.confirm();
  }

  private write(instance: FakeInstance): void {
    if (this.baseline !== instance.term) {
      this.baseline = instance.term;
      this.acknowledged = instance.position;
      this.confirmed = toLogPosition(0);
    }
    const entry = this.daemon.nextEntry();
    instance.entries.push(entry);
    const { term, position } = instance;
    this.writes.add(entry, { term, position }, this.daemon.clockMs + WRITE_DEADLINE_MS);
  }

  /** Notes which writes a replica has; they are acknowledged at the next step. */
  private confirm(): void {
    this.writes.expire(this.daemon.clockMs);
    for (const { instance } of this.daemon.records.getInstances(this.group)) {
      const replica = this.fleet.getInstance(instance);
      const isLeaving = this.daemon.records.isLeaving(this.group, instance);
      const isReplica = replica.role === InstanceRole.Replica;
      if (this.daemon.canReach(replica) && isReplica && !isLeaving) {
        const { term, position } = replica;
        this.writes.replicaReached(instance, { term, position });
      } else {
        this.writes.forgetReplica(instance);
      }
    }
  }

  /** Acknowledges what was confirmed, as far as it may. */
  acknowledge(): void {
    const primary = this.daemon.records.getPrimary(this.group);
    if (primary === undefined) {
      return;
    }
    for (const write of this.writes.takeConfirmed()) {
      if (write.position.term === primary.term && this.mayAcknowledge(primary)) {
        this.finish(primary.term, write);
      } else {
        this.writes.hold(write);
      }
    }
    if (primary.phase !== PrimaryPhase.Serving) {
      return;
    }
    for (const write of this.writes.takeBefore(primary.term)) {
      const isIncluded = getPositionStatus(write.position, primary) === PositionStatus.Included;
      if (isIncluded && this.mayAcknowledge(primary)) {
        this.finish(primary.term, write);
      }
    }
  }

  private mayAcknowledge(primary: GroupPrimary): boolean {
    const isServing = primary.phase !== PrimaryPhase.Promoting;
    return isServing && this.fencedTerm < primary.term && this.daemon.isActing(this.group);
  }

  private finish(term: Term, { id, position }: PendingWrite): void {
    this.acknowledged = toLogPosition(Math.max(this.acknowledged, position.position));
    this.confirmed = toLogPosition(Math.max(this.confirmed, position.position));
    this.fleet.noteAcknowledged(this.daemon, this.group, term, id, position);
  }

  private getViews(): InstanceView[] {
    return this.daemon.records.getInstances(this.group).map(({ instance, domain }) => {
      const present = this.fleet.getInstance(instance);
      const { term, position } = present;
      const isLeaving = this.daemon.records.isLeaving(this.group, instance);
      return {
        ...{ instance, domain, slots: 2, load: 0, latencyMs: 1, ageMs: 0, slowStartWeight: 1 },
        reachable: this.daemon.canReach(present),
        inService: !isLeaving && this.daemon.records.isInService(domain),
        withdrawn: false,
        position: { term, position },
      };
    });
  }
}
