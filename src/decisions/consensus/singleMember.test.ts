import { expect, test } from 'vitest';
import { toRequestId } from '../../common/ids/index.js';
import { RandomSource } from '../../common/random.js';
import {
  ConsensusMember,
  ConsensusRules,
  createFoundingState,
  defaultConsensusSettings,
  EntryKind,
  InputKind,
  OutputKind,
  Role,
  toMemberId,
  type ConsensusOutput,
} from './index.js';

class MidpointRandom extends RandomSource {
  override next(): number {
    return 0.5;
  }
}

function createSingle(): ConsensusMember<string> {
  const identity = toMemberId('a');
  return new ConsensusMember<string>({
    identity,
    settings: defaultConsensusSettings,
    random: new MidpointRandom(),
    stored: createFoundingState([identity]),
    measureCommand: (command) => command.length,
    rules: new ConsensusRules(),
  });
}

function getKinds(outputs: readonly ConsensusOutput<string>[]): readonly OutputKind[] {
  return outputs.map((output) => output.kind);
}

test('a single founding member leads and commits only what is durable', () => {
  const member = createSingle();
  member.start(0);
  expect(member.handle({ kind: InputKind.Tick }, 200)).toEqual([]);
  expect(getKinds(member.handle({ kind: InputKind.Tick }, 300))).toEqual([
    OutputKind.Persist,
    OutputKind.LeadershipChanged,
  ]);
  expect(member.role).toBe(Role.Candidate);
  member.handle({ kind: InputKind.Persisted, sequence: 1 }, 301);
  expect(member.role).toBe(Role.Leader);
  const request = toRequestId('r1');
  const proposed = member.handle({ kind: InputKind.Propose, request, command: 'x' }, 302);
  expect(getKinds(proposed)).toEqual([OutputKind.ProposalAppended, OutputKind.Persist]);
  expect(member.commitIndex).toBe(0);
  const committed = member.handle({ kind: InputKind.Persisted, sequence: 3 }, 303);
  expect(committed).toEqual([
    {
      kind: OutputKind.Commit,
      entries: [
        { kind: EntryKind.Empty, index: 1, term: 1 },
        { kind: EntryKind.Command, index: 2, term: 1, command: 'x', sizeBytes: 1 },
      ],
    },
  ]);
  const read = member.handle({ kind: InputKind.RequestReadBarrier, request }, 304);
  expect(read).toEqual([{ kind: OutputKind.ReadReady, request, index: 2 }]);
});
