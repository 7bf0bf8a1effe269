import { assertInvariant } from '../../common/diagnostics/index.js';
import type { RandomSource } from '../../common/random.js';
import type { ConsensusRules } from './consensusRules.js';
import type { ConsensusSettings } from './consensusSettings.js';
import { Durability, type DurableChange } from './durability.js';
import type { HardState } from './hardState.js';
import type { MemberId } from './memberId.js';
import { MemberLog } from './memberLog.js';
import { isVoter } from './membership.js';
import { MessageKind, type ConsensusMessage } from './message.js';
import { OutputKind, type ConsensusOutput } from './output.js';
import { Role } from './role.js';
import type { StoredState } from './storedState.js';

/** The options of a consensus member. */
export interface ConsensusMemberOptions<Command> {
  readonly identity: MemberId;
  readonly settings: ConsensusSettings;
  readonly random: RandomSource;
  readonly stored: StoredState<Command>;
  /** The encoded size of a command in bytes, for bounding messages. */
  readonly measureCommand: (command: Command) => number;
  readonly rules: ConsensusRules;
}

/** The state that the parts of a member share, and the outputs that they collect. */
export class MemberCore<Command> {
  readonly identity: MemberId;
  readonly settings: ConsensusSettings;
  readonly rules: ConsensusRules;
  readonly log: MemberLog<Command>;
  readonly durability: Durability<Command>;
  role = Role.Follower;
  leader: MemberId | undefined;
  nowMs = 0;
  /**
   * Time of the last contact with a leader; a start counts, since the member may have acknowledged
   * a leader just before it.
   */
  leaderContactMs = 0;
  electionDeadlineMs = 0;
  private hardStateValue: HardState;
  private commitIndexValue: number;
  private outputs: ConsensusOutput<Command>[] = [];

  constructor(private readonly options: ConsensusMemberOptions<Command>) {
    this.identity = options.identity;
    this.settings = options.settings;
    this.rules = options.rules;
    this.log = new MemberLog(options.stored);
    this.hardStateValue = options.stored.hardState;
    this.commitIndexValue = this.log.snapshotIndex;
    this.durability = new Durability(this.hardStateValue, this.log.lastIndex);
  }

  get term(): number {
    return this.hardStateValue.term;
  }

  get votedFor(): MemberId | undefined {
    return this.hardStateValue.votedFor;
  }

  get commitIndex(): number {
    return this.commitIndexValue;
  }

  get isVoter(): boolean {
    return isVoter(this.log.membership, this.identity);
  }

  get measureCommand(): (command: Command) => number {
    return this.options.measureCommand;
  }

  /**
   * Whether a change has waited so long to become durable that this member's vote would come too
   * late.
   */
  get isDiskStalled(): boolean {
    const waitMs = this.durability.getWaitMs(this.nowMs);
    return this.rules.isDiskStalled(waitMs, this.settings);
  }

  /** Adds an output. */
  emit(output: ConsensusOutput<Command>): void {
    this.outputs.push(output);
  }

  /** Removes and returns the outputs collected so far. */
  takeOutputs(): ConsensusOutput<Command>[] {
    const taken = this.outputs;
    this.outputs = [];
    return taken;
  }

  /** Sends a message at once; what it promises must already be durable. */
  send(message: ConsensusMessage<Command>): void {
    this.assertDurable(message);
    this.emit({ kind: OutputKind.Send, to: message.to, message });
  }

  /** Sends a message once every change so far is durable. */
  sendWhenDurable(message: ConsensusMessage<Command>): void {
    if (!this.durability.tryHold(message)) {
      this.send(message);
    }
  }

  /** Starts making a change durable. */
  persist(change: DurableChange<Command>): void {
    this.emit(this.durability.begin(change, this.log.lastIndex, this.nowMs));
  }

  /**
   * Sends the messages that waited for the changes up to the sequence number, except those of
   * earlier terms.
   */
  completePersist(sequence: number): void {
    for (const message of this.durability.complete(sequence)) {
      if (message.term === this.term) {
        this.send(message);
      }
    }
  }

  /** Enters a later term, or records the vote in the current one. */
  setHardState(next: HardState): void {
    const { term, votedFor } = this.hardStateValue;
    assertInvariant(next.term >= term, 'the term never decreases');
    assertInvariant(
      next.term > term || votedFor === undefined || votedFor === next.votedFor,
      'a member votes for one candidate a term',
    );
    this.hardStateValue = next;
    this.persist({ hardState: next });
  }

  /** Becomes a follower in the term, with the given leader or none yet. */
  becomeFollower(term: number, leader: MemberId | undefined): void {
    if (term > this.term) {
      this.setHardState({ term, votedFor: undefined });
    }
    this.role = Role.Follower;
    this.leader = leader;
    this.resetElectionDeadline();
  }

  /**
   * Draws the first election timeout: a short one if no leader can rely on this member's
   * acknowledgements.
   */
  initializeElectionDeadline(): void {
    const { random } = this.options;
    if (this.rules.isLeaderRecent(this.leaderContactMs, this.nowMs, this.settings)) {
      this.resetElectionDeadline();
    } else {
      this.electionDeadlineMs = this.nowMs + random.next() * this.settings.heartbeatMs;
    }
  }

  /** Draws the next election timeout. */
  resetElectionDeadline(): void {
    const { minimumElectionTimeoutMs, maximumElectionTimeoutMs } = this.settings;
    const spreadMs = maximumElectionTimeoutMs - minimumElectionTimeoutMs;
    const timeoutMs = minimumElectionTimeoutMs + this.options.random.next() * spreadMs;
    this.electionDeadlineMs = this.nowMs + timeoutMs;
  }

  /** Commits the entries up to the index. */
  commitTo(index: number): void {
    assertInvariant(index >= this.commitIndexValue, 'the commit index never decreases');
    assertInvariant(index <= this.log.lastIndex, 'only known entries are committed');
    if (index === this.commitIndexValue) {
      return;
    }
    const entries = this.log.getEntries(this.commitIndexValue, index);
    this.commitIndexValue = index;
    this.emit({ kind: OutputKind.Commit, entries });
    if (index - this.log.snapshotIndex >= this.settings.snapshotEntries) {
      this.emit({ kind: OutputKind.SnapshotDue, index });
    }
  }

  /** Marks everything up to an installed snapshot as committed. */
  commitSnapshot(index: number): void {
    assertInvariant(
      index > this.commitIndexValue,
      'an installed snapshot is newer than the commit index',
    );
    this.commitIndexValue = index;
  }

  private assertDurable(message: ConsensusMessage<Command>): void {
    const { hardState, lastIndex } = this.durability;
    if (message.kind === MessageKind.VoteResponse && message.granted) {
      assertInvariant(
        hardState.term === message.term && hardState.votedFor === message.to,
        'no vote before it is durable',
      );
    }
    if (message.kind === MessageKind.AppendResponse && message.accepted) {
      assertInvariant(
        hardState.term === message.term && lastIndex >= message.matchIndex,
        'no acknowledgement before it is durable',
      );
    }
  }
}
