import { pack, unpack } from 'msgpackr';
import { assertInvariant } from '../../../src/common/diagnostics/index.js';
import { toHostId, toRevision, type HostId } from '../../../src/common/ids/index.js';
import {
  CommandKind,
  ControlInputKind,
  ControlLeader,
  ControlOutputKind,
  ControlState,
  type Command,
  type CommandAnswer,
  type ControlInput,
  type ControlSnapshot,
  type Grant,
  type LeaseRenewal,
} from '../../../src/decisions/control/index.js';
import type { Ticket } from '../../../src/decisions/tickets/index.js';
import type { FakeDaemon } from './fakeDaemon.js';
import type { FakeFleet } from './fakeFleet.js';
import { FleetControl } from './fleetControl.js';

const CONTROL = 'control';
const COMMIT_MS = 8;
const TICK_MS = 50;
const RESUBMIT_MS = 300;

interface Proposal {
  readonly command: Command;
  readonly commitMs: number;
}

/** One host of the control quorum that leads, or led until it was isolated. */
class FakeLeader {
  readonly leader: ControlLeader;
  proposals: Proposal[] = [];
  isolatedAtMs = Infinity;
  nextTickMs = 0;

  constructor(
    readonly host: HostId,
    readonly state: ControlState,
    readonly clockRate: number,
    fleet: FakeFleet,
  ) {
    this.leader = new ControlLeader(state, fleet.options.leaderParts);
  }
}

/** A control quorum without its consensus: one log, one leader, and leaders that were isolated. */
export class FakeControl extends FleetControl {
  readonly truth: ControlState;
  private revision = toRevision(0);
  private current: FakeLeader | undefined;
  private former: FakeLeader[] = [];
  private limbo: Command[] = [];
  private electionMs: number | undefined = 0;
  private terms = 0;
  private readonly unanswered = new Map<number, Ticket>();
  private resubmitMs = 0;

  constructor(private readonly fleet: FakeFleet) {
    super();
    this.truth = fleet.options.createState();
  }

  override get leader(): ControlLeader | undefined {
    return this.current?.leader;
  }

  /** Isolates the leader; another is elected after the gap. */
  override isolateLeader(gapMs: number): void {
    const { current } = this;
    if (current === undefined) {
      return;
    }
    this.current = undefined;
    current.isolatedAtMs = this.fleet.nowMs;
    this.limbo = current.proposals.map((proposal) => proposal.command);
    this.former = [...this.former.slice(-1), current];
    this.electionMs = this.fleet.nowMs + gapMs;
  }

  /** Submits a ticket, and submits it again until it is answered. */
  override submit(ticket: Ticket): void {
    this.unanswered.set(ticket.number, ticket);
    this.resubmitMs = this.fleet.nowMs;
  }

  override sendRenewal(daemon: FakeDaemon, renewal: LeaseRenewal): void {
    const { network } = this.fleet;
    network.send(daemon.host, CONTROL, this.fleet.nowMs, () => {
      this.receiveRenewal(renewal, (output) => this.fleet.sendGrant(CONTROL, daemon, output));
    });
  }

  /** A renewal goes to one of those who lead or believe that they do. */
  private receiveRenewal(renewal: LeaseRenewal, reply: (output: Grant) => void): void {
    const hosts = this.current === undefined ? this.former : [...this.former, this.current];
    const chosen = this.fleet.random.next() < 0.8 ? hosts.at(-1) : this.fleet.pick(hosts);
    if (chosen === undefined) {
      return;
    }
    const mayGrant =
      chosen === this.current ||
      this.fleet.nowMs < chosen.isolatedAtMs + this.fleet.options.leaderLeaseMs;
    const input = { kind: ControlInputKind.Renewal, renewal, mayGrant } as const;
    this.run(chosen, input, reply);
  }

  private handle(input: ControlInput): void {
    if (this.current !== undefined) {
      this.run(this.current, input);
    }
  }

  override step(): void {
    if (this.electionMs !== undefined && this.fleet.nowMs >= this.electionMs) {
      this.elect();
    }
    this.resubmit();
    this.commitDue();
    for (const each of this.current === undefined ? this.former : [...this.former, this.current]) {
      if (this.fleet.nowMs >= each.nextTickMs) {
        each.nextTickMs = this.fleet.nowMs + TICK_MS;
        this.run(each, { kind: ControlInputKind.Tick });
      }
    }
  }

  private resubmit(): void {
    if (this.current === undefined || this.fleet.nowMs < this.resubmitMs) {
      return;
    }
    this.resubmitMs = this.fleet.nowMs + RESUBMIT_MS;
    for (const ticket of this.unanswered.values()) {
      const command = { kind: CommandKind.SubmitTicket, ticket } as const;
      this.current.proposals.push({ command, commitMs: this.fleet.nowMs + COMMIT_MS });
    }
  }

  private commitDue(): void {
    const { current } = this;
    if (current === undefined) {
      return;
    }
    const due = current.proposals.filter((each) => each.commitMs <= this.fleet.nowMs);
    current.proposals = current.proposals.filter((each) => each.commitMs > this.fleet.nowMs);
    for (const { command } of due) {
      const answer = this.commit(command);
      const revision = this.revision;
      const own = current.state.apply(command, revision);
      assertInvariant(JSON.stringify(own) === JSON.stringify(answer), 'control states agree');
      this.run(current, { kind: ControlInputKind.Committed, command, revision, answer });
      if (command.kind === CommandKind.SubmitTicket) {
        this.unanswered.delete(command.ticket.number);
      }
    }
  }

  private commit(command: Command): CommandAnswer {
    this.revision = toRevision(this.revision + 1);
    const answer = this.truth.apply(command, this.revision);
    this.fleet.noteCommit(command, answer);
    return answer;
  }

  private elect(): void {
    this.electionMs = undefined;
    for (const command of this.limbo) {
      if (this.fleet.random.next() < 0.5) {
        this.commit(command);
      }
    }
    this.limbo = [];
    this.terms++;
    const host = toHostId(`control-${this.terms}`);
    const rate = this.fleet.createClockRate();
    const snapshot = unpack(pack(this.truth.createSnapshot())) as ControlSnapshot;
    const state = this.fleet.options.createState();
    state.restore(snapshot);
    this.current = new FakeLeader(host, state, rate, this.fleet);
    const controlTerm = this.terms;
    this.run(this.current, { kind: ControlInputKind.BecameLeader, host, controlTerm });
  }

  private run(each: FakeLeader, input: ControlInput, reply?: (output: Grant) => void): void {
    const outputs = each.leader.handle(input, this.fleet.nowMs * each.clockRate);
    for (const output of outputs) {
      if (output.kind === ControlOutputKind.Propose) {
        const commitMs = this.fleet.nowMs + COMMIT_MS;
        each.proposals.push({ command: output.command, commitMs });
      } else if (output.kind === ControlOutputKind.Grant && reply !== undefined) {
        reply(output);
      } else {
        this.fleet.receiveOutput(output, CONTROL, (result) => this.handle(result));
      }
    }
  }
}
