import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import {
  assertInvariant,
  createFault,
  Diagnostics,
  Execution,
  type Fault,
} from '../../common/diagnostics/index.js';
import { toRevision, type RequestId, type Revision } from '../../common/ids/index.js';
import type { RandomSource } from '../../common/random.js';
import type { TimerService, Unsubscribe } from '../../common/timer/index.js';
import {
  ConsensusMember,
  ConsensusRules,
  createMessageSchema,
  EntryKind,
  InputKind,
  OutputKind,
  Role,
  type ConsensusInput,
  type ConsensusMessage,
  type ConsensusOutput,
  type ConsensusSettings,
  type LogEntry,
  type MemberId,
  type MembershipChange,
  type PersistOutput,
  type Snapshot,
} from '../../decisions/consensus/index.js';
import {
  CommandKind,
  type Command,
  type CommandAnswer,
  type ControlSnapshot,
  type ControlState,
} from '../../decisions/control/index.js';
import type { Ticket } from '../../decisions/tickets/index.js';
import type { RequestIds } from '../requests/index.js';
import type { LogStorage, OpenedLog } from '../storage/index.js';
import { PendingCalls } from './pendingCalls.js';
import { StateWork } from './stateWork.js';
import { tryUnpackTicket } from './ticketPacking.js';

const TICK_INTERVAL_MS = 25;

const COMMAND_KINDS: ReadonlySet<unknown> = new Set(Object.values(CommandKind));
const messageSchema = createMessageSchema<Command>(
  z.custom<Command>(
    (command) =>
      typeof command === 'object' &&
      command !== null &&
      'kind' in command &&
      COMMAND_KINDS.has(command.kind),
  ),
);

/** Receives the events and outgoing messages of a quorum member. */
export interface QuorumListener {
  send(to: MemberId, message: ConsensusMessage<Command>): void;
  /** Called after a command was committed and applied. */
  committed(command: Command, revision: Revision, answer: CommandAnswer): void;
  /** Called after a change of the role, the term or the known leader. */
  leadershipChanged(role: Role, term: number): void;
  /** Called when the log cannot be compacted at present. */
  snapshotRefused(fault: Fault): void;
  /** Called when the log can no longer be stored: this host must stop. */
  storageFailed(fault: Fault): void;
}

interface Proposal {
  readonly id: RequestId;
  readonly term: number;
}

/** Member of the control quorum, with its storage and its copy of the control state. */
export class QuorumMember {
  private readonly codec = new Packr({ useRecords: false, int64AsType: 'number' });
  private readonly member: ConsensusMember<Command>;
  private readonly proposals = new PendingCalls<Result<CommandAnswer, Fault>>();
  private readonly readBarriers = new PendingCalls<Result<void, Fault>>();
  private readonly appendedProposals = new Map<number, Proposal>();
  private readonly stateWork: StateWork;
  private readonly stopTicks: Unsubscribe;
  private readonly queuedInputs: ConsensusInput<Command>[] = [];
  private isHandling = false;
  private isStopped = false;
  private appliedIndex = 0;

  constructor(
    opened: OpenedLog<Command>,
    private readonly storage: LogStorage<Command>,
    private readonly state: ControlState,
    private readonly ids: RequestIds,
    private readonly timer: TimerService,
    random: RandomSource,
    settings: ConsensusSettings,
    private readonly listener: QuorumListener,
  ) {
    this.member = new ConsensusMember<Command>({
      identity: opened.identity,
      settings,
      random,
      stored: opened.state,
      measureCommand: (command) => this.codec.pack(command).byteLength,
      rules: new ConsensusRules(),
    });
    this.stateWork = new StateWork(timer);
    this.stopTicks = timer.subscribe(TICK_INTERVAL_MS, () =>
      this.handleInput({ kind: InputKind.Tick }),
    );
  }

  get identity(): MemberId {
    return this.member.identity;
  }

  get isLeader(): boolean {
    return this.member.role === Role.Leader;
  }

  /** Leader known to this member; undefined if none is known. */
  get leader(): MemberId | undefined {
    return this.member.leader;
  }

  get term(): number {
    return this.member.term;
  }

  get membership() {
    return this.member.membership;
  }

  get isMembershipCommitted(): boolean {
    return this.member.isMembershipCommitted;
  }

  /**
   * Time for which writes have waited for free space on the disk, in milliseconds; undefined if
   * none is waiting.
   */
  get refusedMs(): number | undefined {
    return this.storage.refusedMs;
  }

  /** Whether this member leads and no other member can lead at present. */
  isLeaseValid(): boolean {
    return this.member.isLeaseValid(this.timer.now());
  }

  /** Starts the member; call once. For `unacknowledgedSinceMs` see `ConsensusMember.start`. */
  start(unacknowledgedSinceMs: number | undefined): void {
    this.performOutputs(this.member.start(this.timer.now(), unacknowledgedSinceMs));
  }

  /** Processes a message of another member; drops a message that does not match the schema. */
  receive(content: unknown): void {
    const parsed = messageSchema.safeParse(content);
    if (parsed.success) {
      this.handleInput({ kind: InputKind.Receive, message: parsed.data });
    }
  }

  /** Proposes a command; resolves after it was committed and applied, or with a fault. */
  propose(command: Command): Promise<Result<CommandAnswer, Fault>> {
    const request = this.ids.next();
    return new Promise((resolve) => {
      this.proposals.add(request, resolve);
      this.handleInput({ kind: InputKind.Propose, request, command });
    });
  }

  /**
   * Waits until a read of the control state is linearizable; resolves with a fault if it cannot be.
   */
  passBarrier(): Promise<Result<void, Fault>> {
    const request = this.ids.next();
    return new Promise((resolve) => {
      this.readBarriers.add(request, resolve);
      this.handleInput({ kind: InputKind.RequestReadBarrier, request });
    });
  }

  /** Changes one member of the quorum; drops a change that is not possible at present. */
  changeMembership(change: MembershipChange): void {
    this.handleInput({ kind: InputKind.ChangeMembership, request: this.ids.next(), change });
  }

  /** Transfers leadership to another member, as before a planned stop. */
  transferLeadership(): void {
    this.handleInput({ kind: InputKind.TransferLeadership });
  }

  /**
   * Transfers leadership if all entries are committed, so that other members can lead without this
   * member's disk.
   */
  yieldLeadership(): void {
    const { commitIndex, lastIndex } = this.member;
    if (this.isLeader && commitIndex === lastIndex) {
      this.transferLeadership();
    }
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    this.stopTicks();
    this.stateWork.stop();
    this.failPending();
    await this.storage.close();
  }

  /**
   * Processes inputs one after another: an input that an output causes waits until all outputs of
   * the present input are performed.
   */
  private handleInput(input: ConsensusInput<Command>): void {
    this.queuedInputs.push(input);
    if (this.isHandling) {
      return;
    }
    this.isHandling = true;
    try {
      for (
        let next = this.queuedInputs.shift();
        next !== undefined;
        next = this.queuedInputs.shift()
      ) {
        this.performOutputs(this.member.handle(next, this.timer.now()));
      }
    } finally {
      this.isHandling = false;
    }
  }

  private performOutputs(outputs: readonly ConsensusOutput<Command>[]): void {
    for (const output of outputs) {
      this.performOutput(output);
    }
  }

  private performOutput(output: ConsensusOutput<Command>): void {
    switch (output.kind) {
      case OutputKind.Send:
        this.listener.send(output.to, output.message);
        return;
      case OutputKind.Persist:
        this.persist(output);
        return;
      case OutputKind.Commit:
        this.stateWork.add(output.entries.map((entry) => () => this.apply(entry)));
        return;
      case OutputKind.RestoreSnapshot:
        this.stateWork.add([() => this.restore(output.snapshot)]);
        return;
      case OutputKind.SnapshotDue:
        this.stateWork.add([() => this.compact()]);
        return;
      case OutputKind.SnapshotRefused:
        this.listener.snapshotRefused(output.fault);
        return;
      case OutputKind.ProposalAppended:
        this.appendedProposals.set(output.index, { id: output.request, term: output.term });
        return;
      case OutputKind.ProposalRefused:
        this.proposals.answer(output.request, err(output.fault));
        return;
      case OutputKind.ReadReady:
        // The read may use the state once every entry committed before it is applied.
        this.stateWork.add([() => this.readBarriers.answer(output.request, ok())]);
        return;
      case OutputKind.ReadFailed:
        this.readBarriers.answer(output.request, err(output.fault));
        return;
      case OutputKind.LeadershipChanged:
        if (output.role !== Role.Leader) {
          this.failPending();
        }
        this.listener.leadershipChanged(output.role, output.term);
    }
  }

  private persist(change: PersistOutput<Command>): void {
    void this.storage.persist(change).match(
      (sequence) => this.handleInput({ kind: InputKind.Persisted, sequence }),
      (fault) => this.failStorage(fault),
    );
  }

  /**
   * Reports a storage failure unless the member was stopped: writes that wait for free space on a
   * full disk at the stop were never acknowledged.
   */
  private failStorage(fault: Fault): void {
    if (!this.isStopped) {
      this.listener.storageFailed(fault);
    }
  }

  private apply(entry: LogEntry<Command>): void {
    this.appliedIndex = entry.index;
    const proposal = this.appendedProposals.get(entry.index);
    this.appendedProposals.delete(entry.index);
    if (entry.kind === EntryKind.Command) {
      const revision = toRevision(entry.index);
      const command = unpackCommand(entry.command);
      const answer = this.state.apply(command, revision);
      this.listener.committed(command, revision, answer);
      if (proposal?.term === entry.term) {
        this.proposals.answer(proposal.id, ok(answer));
      }
    }
    if (proposal !== undefined && proposal.term !== entry.term) {
      this.proposals.answer(proposal.id, err(createLeadershipLostFault()));
    }
  }

  private restore(snapshot: Snapshot): void {
    this.appliedIndex = snapshot.index;
    this.state.restore(this.codec.unpack(snapshot.state) as ControlSnapshot);
  }

  private compact(): void {
    const state = this.codec.pack(this.state.createSnapshot());
    this.handleInput({ kind: InputKind.Compact, index: this.appliedIndex, state });
  }

  private failPending(): void {
    this.appendedProposals.clear();
    this.proposals.answerAll(err(createLeadershipLostFault()));
    this.readBarriers.answerAll(err(createLeadershipLostFault()));
  }
}

function createLeadershipLostFault(): Fault {
  const context = { step: 'control.propose', execution: Execution.Unknown };
  return createFault(Diagnostics.LeadershipLost, {}, context);
}

/** Returns the command to apply: a ticket that the log has packed is unpacked. */
function unpackCommand(command: Command): Command {
  if (command.kind !== CommandKind.SubmitPackedTicket) {
    return command;
  }
  const unpacked = tryUnpackTicket(command.bytes);
  assertInvariant(unpacked.isOk(), 'a proposed ticket can be unpacked');
  // The leader validated the ticket before it proposed it.
  const ticket = unpacked.value as Ticket;
  return { kind: CommandKind.SubmitTicket, ticket, hash: command.hash };
}
