import { toRequestId, type RequestId } from '../../../src/common/ids/index.js';
import {
  ConsensusMember,
  ConsensusRules,
  createFoundingState,
  defaultConsensusSettings,
  getNextMembershipChange,
  InputKind,
  Role,
  type ConsensusInput,
  type ConsensusSettings,
  type MemberId,
} from '../../../src/decisions/consensus/index.js';
import { SeededRandom } from '../seededRandom.js';
import { EventQueue } from './eventQueue.js';
import { InvariantChecker } from './invariantChecker.js';
import { SimulatedDisk } from './simulatedDisk.js';
import { SimulatedHost } from './simulatedHost.js';
import { SimulatedShell } from './simulatedShell.js';
import type { SimulationListener } from './simulationListener.js';
import { SimulatedNetwork, soundNetwork, type NetworkQuality } from './simulatedNetwork.js';

const TICK_MS = 10;
const MEMBERSHIP_INTERVAL_MS = 100;

/** What a simulation is made from. */
export interface SimulationOptions {
  readonly seed: number;
  readonly hostCount: number;
  readonly rules?: ConsensusRules;
  readonly settings?: Partial<ConsensusSettings>;
  readonly quality?: NetworkQuality;
  /** Breaks the rule that a host without its disk gets a new identity. */
  readonly keepsIdentity?: boolean;
  readonly listener?: SimulationListener;
}

/** Several members over a fake network, with fake disks and clocks, checked after each event. */
export class Simulation {
  readonly random: SeededRandom;
  readonly events = new EventQueue();
  readonly network: SimulatedNetwork;
  readonly checker = new InvariantChecker();
  readonly hosts: SimulatedHost[] = [];
  /** Whether leaders bring the membership to what the hosts' disks are now. */
  managesMembership = true;
  private readonly shell: SimulatedShell;
  private readonly settings: ConsensusSettings;
  private readonly rules: ConsensusRules;
  private readonly addresses = new Map<MemberId, SimulatedHost>();
  private requestCount = 0;

  constructor(private readonly options: SimulationOptions) {
    this.random = new SeededRandom(options.seed);
    this.settings = { ...defaultConsensusSettings, ...options.settings };
    this.rules = options.rules ?? new ConsensusRules();
    const quality = options.quality ?? soundNetwork;
    this.network = new SimulatedNetwork(this.events, this.random, quality);
    this.shell = new SimulatedShell(this, this.addresses, options.listener);
    this.found(options.hostCount);
  }

  /** Runs for a simulated time. */
  run(durationMs: number): void {
    this.events.runUntil(this.events.nowMs + durationMs, () =>
      this.checker.checkLeases(this.hosts, this.events.nowMs),
    );
  }

  /** The host that leads the latest term. */
  get leader(): SimulatedHost | undefined {
    return this.hosts
      .filter((host) => host.member?.role === Role.Leader)
      .sort((left, right) => (right.member?.term ?? 0) - (left.member?.term ?? 0))[0];
  }

  /** Whether the committed voters are just the members that the hosts have now. */
  get isMembershipSettled(): boolean {
    const voters = this.checker.committedMembership?.voters ?? this.getFounders();
    const identities = this.hosts.map((host) => host.identity);
    return voters.length === identities.length && identities.every((id) => voters.includes(id));
  }

  /** Proposes a command to every host that believes to lead. */
  propose(): void {
    for (const host of this.hosts.filter(isLeading)) {
      const command = `command ${this.nextRequest()}`;
      this.input(host, { kind: InputKind.Propose, request: this.nextRequest(), command });
    }
  }

  /** Starts a read at a host. */
  read(host: SimulatedHost): RequestId {
    const request = this.nextRequest();
    this.checker.noteReadStart(request);
    this.input(host, { kind: InputKind.RequestReadBarrier, request });
    return request;
  }

  /** Asks a host to hand leadership over. */
  transfer(host: SimulatedHost): void {
    this.input(host, { kind: InputKind.TransferLeadership });
  }

  /** Ends a host's process; a part of what was not synced is lost. */
  crash(host: SimulatedHost): void {
    host.member = undefined;
    host.incarnation++;
    host.isPaused = false;
    host.backlog = [];
    host.isSyncing = false;
    host.disk.crash(this.random);
  }

  /** Starts a host's process from its disk. */
  start(host: SimulatedHost): void {
    if (host.member !== undefined) {
      return;
    }
    host.appliedIndex = 0;
    host.commands = [];
    host.member = new ConsensusMember<string>({
      identity: host.identity,
      settings: this.settings,
      random: this.random,
      stored: host.disk.read(),
      measureCommand: (command) => command.length,
      rules: this.rules,
    });
    this.addresses.set(host.identity, host);
    this.options.listener?.started(host);
    this.shell.carryOut(host, host.member.start(host.getClock(this.events.nowMs)));
    this.scheduleTick(host, host.incarnation);
  }

  /** Ends a host's process and empties its disk. */
  loseDisk(host: SimulatedHost): void {
    this.crash(host);
    host.loseDisk(this.options.keepsIdentity === true);
  }

  /** Stops a host's process without its notice. */
  pause(host: SimulatedHost): void {
    host.isPaused = true;
  }

  /** Lets a paused process go on; what arrived meanwhile comes first. */
  resume(host: SimulatedHost): void {
    host.isPaused = false;
    const backlog = host.backlog;
    host.backlog = [];
    backlog.forEach((run) => run());
  }

  /** Mends everything. */
  heal(): void {
    this.network.heal();
    this.network.quality = soundNetwork;
    for (const host of this.hosts) {
      this.resume(host);
      this.start(host);
    }
  }

  /** Gives an input to a host's member, unless it is down. */
  input(host: SimulatedHost, input: ConsensusInput<string>): void {
    this.deliver(host, () => {
      if (host.member !== undefined) {
        const clockMs = host.getClock(this.events.nowMs);
        this.shell.carryOut(host, host.member.handle(input, clockMs));
      }
    });
  }

  /** Lets a host's process act once it is awake, unless it ends before. */
  deliver(host: SimulatedHost, act: () => void): void {
    if (host.isPaused) {
      const { incarnation } = host;
      host.backlog.push(() => {
        if (host.incarnation === incarnation) {
          this.deliver(host, act);
        }
      });
    } else if (host.member !== undefined) {
      act();
    }
  }

  private getFounders(): readonly MemberId[] {
    return this.hosts.map((host) => host.identity);
  }

  private found(hostCount: number): void {
    const drift = this.settings.clockDriftBound;
    for (let number = 0; number < hostCount; number++) {
      const rate = 1 + (this.random.next() - 0.5) * drift;
      this.hosts.push(new SimulatedHost(number, rate, this.random.next() * 1_000_000));
    }
    const founding = createFoundingState<string>(this.getFounders());
    for (const host of this.hosts) {
      host.disk = new SimulatedDisk(host.identity, founding);
      this.start(host);
    }
    this.checker.committedMembership = founding.snapshot?.membership;
    this.scheduleMembership();
  }

  private nextRequest() {
    this.requestCount++;
    return toRequestId(String(this.requestCount));
  }

  private scheduleTick(host: SimulatedHost, incarnation: number): void {
    const delayMs = host.getDuration(TICK_MS * (0.8 + this.random.next() * 0.4));
    this.events.schedule(delayMs, () => {
      if (host.incarnation === incarnation) {
        if (!host.isPaused) {
          this.input(host, { kind: InputKind.Tick });
        }
        this.scheduleTick(host, incarnation);
      }
    });
  }

  private scheduleMembership(): void {
    this.events.schedule(MEMBERSHIP_INTERVAL_MS, () => {
      if (this.managesMembership) {
        this.hosts.filter(isLeading).forEach((host) => this.changeMembership(host));
      }
      this.scheduleMembership();
    });
  }

  private changeMembership(host: SimulatedHost): void {
    const desired = this.getFounders();
    const { member } = host;
    const change =
      member === undefined ? undefined : getNextMembershipChange(member.membership, desired);
    if (change !== undefined) {
      const request = this.nextRequest();
      this.input(host, { kind: InputKind.ChangeMembership, request, change });
    }
  }
}

function isLeading(host: SimulatedHost): boolean {
  return host.member?.role === Role.Leader;
}
