import { pack, unpack } from 'msgpackr';
import { assertInvariant } from '../../src/common/diagnostics/index.js';
import { toHostId, toRevision, type RequestId } from '../../src/common/ids/index.js';
import {
  Role,
  type LeadershipChangedOutput,
  type LogEntry,
  type ProposalAppendedOutput,
} from '../../src/decisions/consensus/index.js';
import {
  ControlInputKind,
  ControlLeader,
  ControlOutputKind,
  type Command,
  type CommandAnswer,
  type ControlInput,
  type ControlOutput,
  type ControlSnapshot,
  type ControlState,
  type Grant,
  type LeaseRenewal,
} from '../../src/decisions/control/index.js';
import type { SimulatedHost } from '../../tests/support/consensus/simulatedHost.js';
import type { FleetOptions } from '../../tests/support/fleet/index.js';
import type { CommittedLog } from './committedLog.js';

/** What a process of a control host needs of its surroundings. */
export interface SeatSurroundings {
  readonly log: CommittedLog;
  readonly options: FleetOptions;
  getNowMs(): number;
  /** Gives a proposal to the host's member, after the present event. */
  propose(host: SimulatedHost, request: RequestId, command: Command): void;
  read(host: SimulatedHost): RequestId;
  nextRequest(): RequestId;
  carryOut(seat: ControlSeat, output: ControlOutput): void;
}

interface Proposal {
  readonly request: RequestId;
  readonly term: number;
}

/** One process of a control host: its copy of the control state and its part as leader. */
export class ControlSeat {
  readonly state: ControlState;
  private readonly leader: ControlLeader;
  private readonly answers = new Map<RequestId, (answer: CommandAnswer) => void>();
  private readonly appended = new Map<number, Proposal>();
  private readonly reads = new Map<RequestId, () => void>();
  private hasLed = false;

  constructor(
    readonly host: SimulatedHost,
    private readonly surroundings: SeatSurroundings,
  ) {
    this.state = surroundings.options.createState();
    this.leader = new ControlLeader(this.state, surroundings.options.leaderParts);
  }

  get name(): string {
    return `c${this.host.number}`;
  }

  get isLeading(): boolean {
    return this.host.member?.role === Role.Leader;
  }

  get controlLeader(): ControlLeader {
    return this.leader;
  }

  /** Proposes a command; the answer comes once it is committed here in the term it was given. */
  propose(command: Command, answer?: (answer: CommandAnswer) => void): void {
    const request = this.surroundings.nextRequest();
    if (answer !== undefined) {
      this.answers.set(request, answer);
    }
    this.surroundings.propose(this.host, request, command);
  }

  /** Runs once the state may be read, unless leadership is lost before. */
  read(ready: () => void): void {
    this.reads.set(this.surroundings.read(this.host), ready);
  }

  proposalAppended({ index, request, term }: ProposalAppendedOutput): void {
    this.appended.set(index, { request, term });
  }

  readReady(request: RequestId): void {
    const ready = this.reads.get(request);
    this.reads.delete(request);
    ready?.();
  }

  leadershipChanged({ role }: LeadershipChangedOutput): void {
    if (role !== Role.Leader && this.hasLed) {
      this.answers.clear();
      this.appended.clear();
      this.reads.clear();
      this.tell({ kind: ControlInputKind.LostLeadership });
    }
  }

  /** Passes the read barrier that comes before a new leader's first decision. */
  beginLeading(term: number): void {
    this.hasLed = true;
    this.read(() => {
      if (this.isLeading && this.host.member?.term === term) {
        const host = toHostId(this.name);
        this.tell({ kind: ControlInputKind.BecameLeader, host, controlTerm: term });
      }
    });
  }

  /** Takes a committed command in. */
  apply(entry: LogEntry<string>, command: Command): void {
    const revision = toRevision(entry.index);
    const answer = this.state.apply(command, revision);
    const agreed = this.surroundings.log.getAnswer(entry.index);
    assertInvariant(JSON.stringify(answer) === agreed, 'control states agree');
    this.tell({ kind: ControlInputKind.Committed, command, revision, answer });
    const proposal = this.appended.get(entry.index);
    this.appended.delete(entry.index);
    if (proposal?.term === entry.term) {
      this.answers.get(proposal.request)?.(answer);
      this.answers.delete(proposal.request);
    }
  }

  /** Takes a snapshot over. */
  restore(index: number): void {
    const scratch = this.surroundings.log.replay(index);
    this.state.restore(unpack(pack(scratch.createSnapshot())) as ControlSnapshot);
  }

  renew(renewal: LeaseRenewal, reply: (grant: Grant) => void): void {
    const clockMs = this.host.getClock(this.surroundings.getNowMs());
    const mayGrant = this.host.member?.isLeaseValid(clockMs) === true;
    this.tell({ kind: ControlInputKind.Renewal, renewal, mayGrant }, reply);
  }

  tick(): void {
    this.tell({ kind: ControlInputKind.Tick });
  }

  tell(input: ControlInput, reply?: (grant: Grant) => void): void {
    const clockMs = this.host.getClock(this.surroundings.getNowMs());
    for (const output of this.leader.handle(input, clockMs)) {
      if (output.kind === ControlOutputKind.Propose) {
        this.propose(output.command);
      } else if (output.kind === ControlOutputKind.Grant) {
        reply?.(output);
      } else {
        this.surroundings.carryOut(this, output);
      }
    }
  }
}
