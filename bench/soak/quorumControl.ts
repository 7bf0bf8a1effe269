import { toRequestId, type RequestId } from '../../src/common/ids/index.js';
import {
  EntryKind,
  getNextMembershipChange,
  InputKind,
  Role,
  toMemberId,
  type ConsensusRules,
  type LeadershipChangedOutput,
  type LogEntry,
  type MemberId,
  type ProposalAppendedOutput,
} from '../../src/decisions/consensus/index.js';
import {
  ControlOutputKind,
  type Command,
  type ControlLeader,
  type ControlOutput,
  type LeaseRenewal,
} from '../../src/decisions/control/index.js';
import type { Ticket } from '../../src/decisions/tickets/index.js';
import { ControlRoute } from '../../src/daemon/lease/controlRoute.js';
import type { SimulatedHost } from '../../tests/support/consensus/simulatedHost.js';
import { poorNetwork, soundNetwork } from '../../tests/support/consensus/simulatedNetwork.js';
import { Simulation } from '../../tests/support/consensus/simulation.js';
import type { SimulationListener } from '../../tests/support/consensus/simulationListener.js';
import {
  FleetControl,
  type FakeDaemon,
  type FakeFleet,
  type FleetOptions,
} from '../../tests/support/fleet/index.js';
import { CommittedLog } from './committedLog.js';
import { ControlSeat, type SeatSurroundings } from './controlSeat.js';
import { TicketClient } from './ticketClient.js';

const TICK_MS = 20;
const MEMBERSHIP_MS = 200;
const DRIFT_SHARE = 0.99;
/** Small, so that snapshots are taken and sent within one schedule. */
const SNAPSHOT_ENTRIES = 60;
const TRAILING_ENTRIES = 20;

/** A control quorum of simulated consensus members, each with its copy of the control state. */
export class QuorumControl extends FleetControl implements SimulationListener, SeatSurroundings {
  readonly log: CommittedLog;
  readonly simulation: Simulation;
  readonly tickets: TicketClient;
  private readonly seats = new Map<SimulatedHost, ControlSeat>();
  /** Daemons that asked a control host while it knew no leader. */
  private readonly leaderWaiters = new WeakMap<ControlSeat, Map<FakeDaemon, ControlRoute>>();
  private readonly routes = new Map<FakeDaemon, ControlRoute>();
  leaderships = 0;
  restores = 0;
  private requests = 0;
  private nextTickMs = 0;
  private nextMembershipMs = 0;

  constructor(
    private readonly fleet: FakeFleet,
    hostCount: number,
    isPoor: boolean,
    rules: ConsensusRules,
  ) {
    super();
    this.log = new CommittedLog(fleet.options.createState);
    this.simulation = new Simulation({
      ...{ seed: fleet.options.seed, hostCount, rules, listener: this },
      quality: isPoor ? poorNetwork : soundNetwork,
      settings: {
        clockDriftBound: fleet.options.driftBound * DRIFT_SHARE,
        snapshotEntries: SNAPSHOT_ENTRIES,
        trailingEntries: TRAILING_ENTRIES,
      },
    });
    this.simulation.managesMembership = false;
    this.tickets = new TicketClient(fleet, this);
  }

  get options(): FleetOptions {
    return this.fleet.options;
  }

  get truth() {
    return this.log.state;
  }

  override get leader(): ControlLeader | undefined {
    const { leader } = this.simulation;
    return leader === undefined ? undefined : this.seats.get(leader)?.controlLeader;
  }

  /** Runs on a control host when a message to it arrives, while it lives. */
  deliver(number: number, act: (seat: ControlSeat) => void): void {
    const { hosts, events } = this.simulation;
    const host = hosts[number % hosts.length];
    if (host === undefined) {
      return;
    }
    events.schedule(Math.max(0, this.fleet.nowMs - events.nowMs), () => {
      this.simulation.deliver(host, () => act(this.getSeat(host)));
    });
  }

  /** The process that runs on a host. */
  getSeat(host: SimulatedHost): ControlSeat {
    const seat = this.seats.get(host);
    if (seat === undefined) {
      throw new Error(`no process on control host ${host.number}`);
    }
    return seat;
  }

  override isolateLeader(gapMs: number): void {
    const { leader, hosts, network, events } = this.simulation;
    if (leader !== undefined) {
      network.isolate(leader.number, hosts.length);
      events.schedule(gapMs, () => network.heal());
    }
  }

  override submit(ticket: Ticket): void {
    this.tickets.submit(ticket);
  }

  override sendRenewal(daemon: FakeDaemon, renewal: LeaseRenewal): void {
    const { network } = this.fleet;
    const route = this.getRoute(daemon);
    const name = route.choose(this.fleet.nowMs);
    network.send(daemon.host, name, this.fleet.nowMs, () => {
      this.deliver(Number(name.slice(1)), (seat) => this.renew(seat, daemon, renewal, route));
    });
  }

  override step(): void {
    this.tickets.step();
    const { nowMs } = this.fleet;
    this.simulation.run(nowMs - this.simulation.events.nowMs);
    if (nowMs >= this.nextTickMs) {
      this.nextTickMs = nowMs + TICK_MS;
      this.forEachAwake((seat) => seat.tick());
    }
    if (nowMs >= this.nextMembershipMs) {
      this.nextMembershipMs = nowMs + MEMBERSHIP_MS;
      this.forEachAwake((seat) => this.adjustMembership(seat));
    }
  }

  started(host: SimulatedHost): void {
    this.seats.set(host, new ControlSeat(host, this));
  }

  applied(host: SimulatedHost, entry: LogEntry<string>): void {
    if (entry.kind !== EntryKind.Command) {
      return;
    }
    const command = JSON.parse(entry.command) as Command;
    const answer = this.log.add(entry.index, command);
    if (answer !== undefined) {
      this.fleet.noteCommit(command, answer);
    }
    this.getSeat(host).apply(entry, command);
  }

  restored(host: SimulatedHost, index: number): void {
    if (index > 0) {
      this.restores++;
    }
    this.getSeat(host).restore(index);
  }

  leadershipChanged(host: SimulatedHost, output: LeadershipChangedOutput): void {
    const seat = this.getSeat(host);
    seat.leadershipChanged(output);
    if (output.leader !== undefined) {
      this.later(host, () => this.notifyWaiters(seat));
    }
    if (output.role === Role.Leader) {
      this.leaderships++;
      this.later(host, () => seat.beginLeading(output.term));
    }
  }

  proposalAppended(host: SimulatedHost, output: ProposalAppendedOutput): void {
    this.getSeat(host).proposalAppended(output);
  }

  readReady(host: SimulatedHost, request: RequestId): void {
    const seat = this.getSeat(host);
    this.later(host, () => seat.readReady(request));
  }

  getNowMs(): number {
    return this.simulation.events.nowMs;
  }

  propose(host: SimulatedHost, request: RequestId, command: Command): void {
    this.later(host, () => {
      const text = JSON.stringify(command);
      this.simulation.input(host, { kind: InputKind.Propose, request, command: text });
    });
  }

  read(host: SimulatedHost): RequestId {
    return this.simulation.read(host);
  }

  nextRequest(): RequestId {
    this.requests++;
    return toRequestId(`control-${this.requests}`);
  }

  carryOut(seat: ControlSeat, output: ControlOutput): void {
    if (output.kind === ControlOutputKind.Update || output.kind === ControlOutputKind.Promote) {
      const { number } = seat.host;
      this.fleet.receiveOutput(output, seat.name, (result) =>
        this.deliver(number, (present) => present.tell(result)),
      );
    }
  }

  /** The members that run on the hosts now. */
  getMembers(): readonly MemberId[] {
    return this.simulation.hosts.map((host) => host.identity);
  }

  private renew(
    seat: ControlSeat,
    daemon: FakeDaemon,
    renewal: LeaseRenewal,
    route: ControlRoute,
  ): void {
    const { network } = this.fleet;
    if (!seat.isLeading) {
      const leader = this.findLeaderName(seat);
      if (leader === undefined) {
        this.addWaiter(seat, daemon, route);
      }
      network.send(seat.name, daemon.host, this.fleet.nowMs, () => route.redirected(leader));
      return;
    }
    seat.renew(renewal, (grant) => {
      network.send(seat.name, daemon.host, this.fleet.nowMs, () => route.answered(seat.name));
      this.fleet.sendGrant(seat.name, daemon, grant);
    });
  }

  private findLeaderName(seat: ControlSeat): string | undefined {
    const known = this.simulation.hosts.find((host) => host.identity === seat.host.member?.leader);
    return known === undefined ? undefined : `c${known.number}`;
  }

  private addWaiter(seat: ControlSeat, daemon: FakeDaemon, route: ControlRoute): void {
    const waiters = this.leaderWaiters.get(seat) ?? new Map<FakeDaemon, ControlRoute>();
    waiters.set(daemon, route);
    this.leaderWaiters.set(seat, waiters);
  }

  /** Names the leader to the daemons that asked the host while it knew none. */
  private notifyWaiters(seat: ControlSeat): void {
    const leader = this.findLeaderName(seat);
    for (const [daemon, route] of leader === undefined
      ? []
      : (this.leaderWaiters.get(seat) ?? [])) {
      this.fleet.network.send(seat.name, daemon.host, this.fleet.nowMs, () =>
        route.redirected(leader),
      );
      this.leaderWaiters.delete(seat);
    }
  }

  private getRoute(daemon: FakeDaemon): ControlRoute {
    const names = this.simulation.hosts.map((host) => `c${host.number}`);
    const route = this.routes.get(daemon) ?? new ControlRoute(() => names);
    this.routes.set(daemon, route);
    return route;
  }

  private forEachAwake(act: (seat: ControlSeat) => void): void {
    for (const [host, seat] of this.seats) {
      if (host.member !== undefined && !host.isPaused) {
        act(seat);
      }
    }
  }

  private adjustMembership(seat: ControlSeat): void {
    const wanted = seat.state.getControlMembers()?.members;
    const { member } = seat.host;
    if (wanted === undefined || !seat.isLeading || member?.isMembershipCommitted !== true) {
      return;
    }
    const ids = wanted.map((each) => toMemberId(each.member));
    const change = getNextMembershipChange(member.membership, ids);
    if (change !== undefined) {
      const request = this.nextRequest();
      this.simulation.input(seat.host, { kind: InputKind.ChangeMembership, request, change });
    }
  }

  /** Lets the present process of a host act after the present event. */
  private later(host: SimulatedHost, act: () => void): void {
    const { incarnation } = host;
    this.simulation.events.schedule(0, () => {
      if (host.incarnation === incarnation) {
        this.simulation.deliver(host, act);
      }
    });
  }
}
