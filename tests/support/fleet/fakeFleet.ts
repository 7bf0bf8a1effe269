import { SeededRandom } from '../../../bench/experiment/seededRandom.js';
import { assertInvariant } from '../../../src/common/diagnostics/index.js';
import {
  toFailureDomain,
  toGroupId,
  toHostId,
  toInstanceId,
  toTerm,
  type GroupId,
  type InstanceId,
  type Term,
} from '../../../src/common/ids/index.js';
import {
  CommandKind,
  ControlInputKind,
  ControlOutputKind,
  InstanceRole,
  PrimaryPhase,
  type Command,
  type CommandAnswer,
  type ControlInput,
  type ControlOutput,
  type Grant,
  type Promote,
} from '../../../src/decisions/control/index.js';
import { getInForceBoundMs } from '../../../src/decisions/leases/index.js';
import type { SessionPosition } from '../../../src/decisions/sessions/index.js';
import type { Ticket } from '../../../src/decisions/tickets/index.js';
import { FakeDaemon } from './fakeDaemon.js';
import { FakeInstance } from './fakeInstance.js';
import { FakeNetwork } from './fakeNetwork.js';
import type { FleetObserver } from './fleetObserver.js';
import type { FleetControl } from './fleetControl.js';
import type { FleetOptions } from './fleetOptions.js';

const STEP_MS = 10;
const ANNOUNCE_INTERVAL_MS = 100;

interface AcknowledgedWrite {
  readonly term: Term;
  readonly entry: string;
}

interface CommittedTicket {
  readonly revision: number;
  readonly atMs: number;
}

/** Daemons, instances and control over a network that fails; checks the promises at each step. */
export class FakeFleet {
  nowMs = 0;
  readonly random: SeededRandom;
  readonly network: FakeNetwork;
  readonly control: FleetControl;
  readonly daemons: FakeDaemon[] = [];
  readonly instances = new Map<InstanceId, FakeInstance>();
  readonly groups: GroupId[] = [];
  readonly acknowledged = new Map<GroupId, AcknowledgedWrite[]>();
  readonly log: string[] = [];
  observer: FleetObserver | undefined;
  private readonly tickets: CommittedTicket[] = [];
  private nextAnnouncementMs = 0;

  constructor(readonly options: FleetOptions) {
    this.random = new SeededRandom(options.seed);
    this.network = new FakeNetwork(this.random, options.network);
    this.control = options.createControl(this);
    for (let index = 0; index < options.daemons; index++) {
      this.addDaemon(index);
    }
    for (let index = 0; index < options.groups; index++) {
      this.addGroup(index);
    }
  }

  createClockRate(): number {
    return 1 + (this.random.next() - 0.5) * this.options.driftBound * 0.99;
  }

  pick<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.random.next() * items.length)];
  }

  getInstance(instance: InstanceId): FakeInstance {
    const found = this.instances.get(instance);
    assertInvariant(found !== undefined, 'the instance exists');
    return found;
  }

  /** The instance that control has decided on as primary. */
  getPrimary(group: GroupId): FakeInstance {
    const primary = this.control.truth.getPrimary(group);
    assertInvariant(primary !== undefined, 'the group has a primary');
    return this.getInstance(primary.instance);
  }

  /** The daemon that holds a group by the log. */
  getHolder(group: GroupId): FakeDaemon {
    const host = this.control.truth.getGroupAssignment(group)?.holder?.host;
    const daemon = this.daemons.find((each) => each.host === host);
    assertInvariant(daemon !== undefined, 'the group has a holder');
    return daemon;
  }

  /** Runs until a write to the group is acknowledged, or the time is over; gives the time taken. */
  runUntilWrite(group: GroupId, limitMs: number): number {
    const startMs = this.nowMs;
    const count = this.count(group);
    while (this.count(group) === count && this.nowMs < startMs + limitMs) {
      this.step();
    }
    return this.nowMs - startMs;
  }

  submit(ticket: Ticket): void {
    this.control.submit(ticket);
  }

  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.step();
    }
  }

  /** Writes acknowledged so far. */
  count(group: GroupId): number {
    return this.acknowledged.get(group)?.length ?? 0;
  }

  noteAcknowledged(
    daemon: FakeDaemon,
    group: GroupId,
    term: Term,
    entry: string,
    position: SessionPosition,
  ): void {
    const { truth } = this.control;
    const holder = truth.getGroupAssignment(group)?.holder?.lease;
    assertInvariant(holder === daemon.lease.id, 'only the holder acknowledges');
    const primary = truth.getPrimary(group);
    const isCurrent = primary?.term === term && primary.phase !== PrimaryPhase.Promoting;
    assertInvariant(isCurrent, 'no write is acknowledged under an old term');
    const writes = this.acknowledged.get(group) ?? [];
    writes.push({ term, entry });
    this.acknowledged.set(group, writes);
    this.observer?.acknowledged(group, entry, position);
  }

  noteCommit(command: Command, answer: CommandAnswer): void {
    if (!answer.changed) {
      return;
    }
    this.log.push(`${this.nowMs} ${JSON.stringify(command)}`);
    if (command.kind === CommandKind.SubmitTicket) {
      this.tickets.push({ revision: this.control.truth.revision, atMs: this.nowMs });
    }
    if (command.kind === CommandKind.CompletePromotion && this.options.isSafe) {
      this.checkNothingLost(command.group);
    }
  }

  sendGrant(from: string, daemon: FakeDaemon, { grant }: Grant): void {
    this.network.send(from, daemon.host, this.nowMs, () =>
      daemon.receive(() => daemon.receiveGrant(grant)),
    );
  }

  /** Carries out what a control leader wants; `reply` is told what came of a promotion. */
  receiveOutput(output: ControlOutput, from: string, reply: (result: ControlInput) => void): void {
    if (output.kind === ControlOutputKind.Update) {
      for (const daemon of this.daemons.filter((each) => output.hosts.includes(each.host))) {
        this.network.send(from, daemon.host, this.nowMs, () =>
          daemon.receive(() => daemon.receiveUpdate(output.update)),
        );
      }
    } else if (output.kind === ControlOutputKind.Promote) {
      this.orderPromotion(output, from, reply);
    }
  }

  private orderPromotion(
    order: Promote,
    from: string,
    reply: (result: ControlInput) => void,
  ): void {
    const { group, instance, term } = order;
    this.network.send(from, instance, this.nowMs, () => {
      const target = this.getInstance(instance);
      const position = target.isAlive ? target.promote(term) : undefined;
      this.network.send(instance, from, this.nowMs, () =>
        reply({
          kind: ControlInputKind.PromotionResult,
          ...{ group, instance, term, ok: position !== undefined, isSettled: true },
          position: position ?? target.position,
        }),
      );
    });
  }

  private step(): void {
    this.nowMs += STEP_MS;
    this.network.step(this.nowMs);
    this.replicate();
    if (this.nowMs >= this.nextAnnouncementMs) {
      this.nextAnnouncementMs = this.nowMs + ANNOUNCE_INTERVAL_MS;
      this.announce();
    }
    this.control.step();
    for (const daemon of this.daemons) {
      daemon.step();
    }
    this.check();
    this.observer?.stepped();
  }

  private replicate(): void {
    for (const replica of this.instances.values()) {
      const primary = this.findUpstream(replica);
      if (replica.isAlive && primary !== undefined) {
        replica.follow(primary);
      }
    }
  }

  private findUpstream(replica: FakeInstance): FakeInstance | undefined {
    let upstream: FakeInstance | undefined;
    for (const each of this.instances.values()) {
      const isReachable = each.isAlive && this.network.isReachable(replica.instance, each.instance);
      const isPrimary = each.group === replica.group && each.role === InstanceRole.Primary;
      if (isPrimary && isReachable && each.term > (upstream?.term ?? 0)) {
        upstream = each;
      }
    }
    return upstream;
  }

  private announce(): void {
    for (const instance of this.instances.values()) {
      const daemon = this.pick(this.daemons);
      if (instance.isAlive && daemon !== undefined) {
        const announcement = instance.announce();
        this.network.send(instance.instance, daemon.host, this.nowMs, () =>
          daemon.receive(() => daemon.hear(announcement)),
        );
      }
    }
  }

  private check(): void {
    const { truth } = this.control;
    const boundMs = getInForceBoundMs(this.options.lease) * (1 + this.options.driftBound);
    const due = this.tickets.filter((ticket) => ticket.atMs + boundMs < this.nowMs).at(-1);
    for (const daemon of this.daemons) {
      if (!daemon.isServing()) {
        continue;
      }
      const isCurrent = daemon.records.revision >= (due?.revision ?? 0);
      assertInvariant(isCurrent, 'a ticket is in force on every daemon with a lease in time');
      for (const group of this.groups.filter((each) => daemon.isActing(each))) {
        const holder = truth.getGroupAssignment(group)?.holder?.lease;
        assertInvariant(holder === daemon.lease.id, 'a group has one holder at a time');
      }
      for (const account of truth.getAccounts().filter((each) => daemon.isHandingOut(each))) {
        const holder = truth.getAccountAssignment(account)?.holder?.lease;
        assertInvariant(holder === daemon.lease.id, 'an account has one holder at a time');
      }
    }
  }

  private checkNothingLost(group: GroupId): void {
    const primary = this.getPrimary(group);
    const entries = new Set(primary.entries);
    const isWhole = (this.acknowledged.get(group) ?? []).every(({ entry }) => entries.has(entry));
    assertInvariant(isWhole, 'no acknowledged write is lost');
  }

  private addDaemon(index: number): void {
    const { domains } = this.options;
    const domain = toFailureDomain(`d${index % domains}`);
    const rate = this.createClockRate();
    this.daemons.push(new FakeDaemon(toHostId(`h${index}`), domain, rate, this));
  }

  private addGroup(index: number): void {
    const group = toGroupId(`g${index}`);
    this.groups.push(group);
    for (let replica = 0; replica < this.options.instances; replica++) {
      const domain = toFailureDomain(`d${(index + replica) % this.options.domains}`);
      const instance = new FakeInstance(group, toInstanceId(`g${index}i${replica}`), domain);
      this.instances.set(instance.instance, instance);
      if (replica === 0) {
        instance.role = InstanceRole.Primary;
        instance.term = toTerm(1);
      }
    }
  }
}
