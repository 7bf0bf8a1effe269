import { toRequestId } from '../../../src/common/ids/index.js';
import { RandomSource } from '../../../src/common/random.js';
import {
  ConsensusMember,
  ConsensusRules,
  createFoundingState,
  defaultConsensusSettings,
  InputKind,
  MessageKind,
  OutputKind,
  toMemberId,
  type AppendResponse,
  type ConsensusInput,
  type ConsensusMessage,
  type ConsensusOutput,
  type MemberId,
} from '../../../src/decisions/consensus/index.js';

class MiddleRandom extends RandomSource {
  override next(): number {
    return 0.5;
  }
}

/** One member that a test drives message by message. */
export class ScriptedMember {
  readonly member: ConsensusMember<string>;
  nowMs: number;
  private lastSequence = 0;

  constructor(
    readonly identity: MemberId,
    voters: readonly MemberId[],
    { nowMs = 0, silentSinceMs = 0 } = {},
  ) {
    this.nowMs = nowMs;
    this.member = new ConsensusMember<string>({
      identity,
      settings: defaultConsensusSettings,
      random: new MiddleRandom(),
      stored: createFoundingState(voters),
      measureCommand: (command) => command.length,
      rules: new ConsensusRules(),
    });
    this.member.start(nowMs, silentSinceMs);
  }

  /** Gives an input. */
  give(input: ConsensusInput<string>): readonly ConsensusOutput<string>[] {
    const outputs = this.member.handle(input, this.nowMs);
    for (const output of outputs) {
      if (output.kind === OutputKind.Persist) {
        this.lastSequence = output.sequence;
      }
    }
    return outputs;
  }

  /** Gives a message. */
  receive(message: ConsensusMessage<string>): readonly ConsensusOutput<string>[] {
    return this.give({ kind: InputKind.Receive, message });
  }

  /** Lets time pass and ticks. */
  tickAt(nowMs: number): readonly ConsensusOutput<string>[] {
    this.nowMs = nowMs;
    return this.give({ kind: InputKind.Tick });
  }

  /** Makes all changes durable. */
  persist(): readonly ConsensusOutput<string>[] {
    return this.give({ kind: InputKind.Persisted, sequence: this.lastSequence });
  }

  /** Starts a read. */
  read(name: string): readonly ConsensusOutput<string>[] {
    return this.give({ kind: InputKind.RequestReadBarrier, request: toRequestId(name) });
  }

  /** Wins an election with the vote of one other. */
  lead(other: MemberId): void {
    this.tickAt(300);
    const ballot = { from: other, to: this.identity, granted: true };
    this.receive({ ...ballot, kind: MessageKind.PreVoteResponse, term: 0, campaign: 1 });
    this.persist();
    this.receive({ ...ballot, kind: MessageKind.VoteResponse, term: 1, campaign: 2 });
    this.persist();
  }
}

/** An answer of a follower that holds everything. */
export function createAppendResponse(
  from: MemberId,
  to: MemberId,
  values: Partial<AppendResponse>,
): AppendResponse {
  return {
    kind: MessageKind.AppendResponse,
    from,
    to,
    term: 1,
    requestTerm: 1,
    round: 1,
    sentMs: 300,
    accepted: true,
    matchIndex: 1,
    refusedIndex: 0,
    nextIndex: 0,
    ...values,
  };
}

/** The identities used by scripted tests. */
export const scriptedVoters = ['a', 'b', 'c'].map(toMemberId) as [MemberId, MemberId, MemberId];
