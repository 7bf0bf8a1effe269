import { expect, test } from 'vitest';
import { toRequestId } from '../../common/ids/index.js';
import { MAXIMUM_HELD_MESSAGES } from './durability.js';
import {
  createAppendResponse,
  ScriptedMember,
  scriptedVoters,
} from '../../../tests/support/consensus/scriptedMember.js';
import {
  defaultConsensusSettings,
  EntryKind,
  InputKind,
  MembershipChangeKind,
  MessageKind,
  OutputKind,
  Role,
  toMemberId,
  type ConsensusOutput,
  type LogEntry,
} from './index.js';

const [a, b, c] = scriptedVoters;

function createLeader(): ScriptedMember {
  const leader = new ScriptedMember(a, scriptedVoters);
  leader.lead(b);
  expect(leader.member.role).toBe(Role.Leader);
  return leader;
}

function getKinds(outputs: readonly ConsensusOutput<string>[]): readonly OutputKind[] {
  return outputs.map((output) => output.kind);
}

function createEntry(index: number): LogEntry<string> {
  return { kind: EntryKind.Command, index, term: 1, command: 'x', sizeBytes: 1 };
}

test('a response to a request of an earlier term confirms no read', () => {
  const leader = createLeader();
  leader.receive(createAppendResponse(b, a, {}));
  expect(leader.member.commitIndex).toBe(1);
  leader.read('r');
  const stale = createAppendResponse(b, a, { requestTerm: 0, round: 999, accepted: false });
  expect(leader.receive(stale)).toEqual([]);
  const confirmed = leader.receive(createAppendResponse(b, a, { round: 2 }));
  expect(getKinds(confirmed)).toEqual([OutputKind.ReadReady]);
});

test('a new leader answers no read before it has committed an entry of its own term', () => {
  const leader = createLeader();
  expect(leader.read('r')).toEqual([]);
  const answer = createAppendResponse(b, a, { matchIndex: 0, accepted: false });
  expect(getKinds(leader.receive(answer))).not.toContain(OutputKind.ReadReady);
  leader.receive(createAppendResponse(b, a, { round: 1 }));
  const confirmed = leader.receive(createAppendResponse(b, a, { round: 2 }));
  expect(getKinds(confirmed)).toContain(OutputKind.ReadReady);
});

test('the lease counts from when a heartbeat was sent, less the drift bound, until a transfer', () => {
  const leader = createLeader();
  expect(leader.member.isLeaseValid(300)).toBe(false);
  leader.nowMs = 400;
  leader.receive(createAppendResponse(c, a, { sentMs: 300 }));
  expect(leader.member.isLeaseValid(489)).toBe(true);
  expect(leader.member.isLeaseValid(490)).toBe(false);
  leader.give({ kind: InputKind.TransferLeadership });
  expect(leader.member.isLeaseValid(489)).toBe(false);
});

test('a leader without a quorum steps down and fails its reads', () => {
  const leader = createLeader();
  leader.receive(createAppendResponse(b, a, {}));
  leader.read('r');
  leader.tickAt(699);
  expect(leader.member.role).toBe(Role.Leader);
  expect(getKinds(leader.tickAt(700))).toEqual([
    OutputKind.ReadFailed,
    OutputKind.LeadershipChanged,
  ]);
});

test('an acknowledgement waits for durable entries, a heartbeat response for a durable term', () => {
  const follower = new ScriptedMember(b, scriptedVoters);
  const request = {
    kind: MessageKind.AppendRequest as const,
    from: a,
    to: b,
    term: 1,
    round: 1,
    sentMs: 5,
    previousIndex: 0,
    previousTerm: 0,
    entries: [createEntry(1)],
    commitIndex: 0,
  };
  const appended = follower.receive(request);
  expect(getKinds(appended)).not.toContain(OutputKind.Send);
  expect(follower.persist()).toMatchObject([{ message: { accepted: true, matchIndex: 1 } }]);
  follower.receive({ ...request, previousIndex: 1, previousTerm: 1, entries: [createEntry(2)] });
  const heartbeat = { ...request, previousIndex: 2, previousTerm: 1, entries: [] };
  expect(follower.receive(heartbeat)).toMatchObject([{ message: { matchIndex: 1 } }]);
  // A snapshot beyond the log does not revoke the acknowledgement of entry 2, which is sent after the
  // next sync together with that of the snapshot.
  const membership = { voters: scriptedVoters, learners: [] };
  const snapshot = { index: 9, term: 1, membership, state: new Uint8Array(0) };
  const { previousIndex, previousTerm, entries, commitIndex, ...contact } = request;
  expect([previousIndex, previousTerm, entries.length, commitIndex]).toEqual([0, 0, 1, 0]);
  follower.receive({ ...contact, kind: MessageKind.SnapshotRequest, snapshot });
  const released = follower.persist();
  expect(released).toMatchObject([{ message: { matchIndex: 2 } }, { message: { matchIndex: 9 } }]);
});

// Guards against a quorum that stands still because a voter was added that can't be reached.
test('a learner that has not responded is not promoted, however short the log is', () => {
  const leader = createLeader();
  const learner = toMemberId('d');
  const change = (kind: MembershipChangeKind) => {
    const request = toRequestId(kind);
    const outputs = leader.give({
      kind: InputKind.ChangeMembership,
      request,
      change: { kind, member: learner },
    });
    return outputs.some((output) => output.kind === OutputKind.ProposalRefused);
  };
  leader.receive(createAppendResponse(b, a, { matchIndex: 1 }));
  expect(change(MembershipChangeKind.AddLearner)).toBe(false);
  leader.persist();
  leader.receive(createAppendResponse(b, a, { matchIndex: 2 }));
  expect(change(MembershipChangeKind.PromoteLearner)).toBe(true);
  leader.receive(createAppendResponse(learner, a, { matchIndex: 1 }));
  expect(change(MembershipChangeKind.PromoteLearner)).toBe(false);
});

test('membership changes are refused until the last one and an own-term entry are committed', () => {
  const leader = createLeader();
  const learner = toMemberId('d');
  const change = (kind: MembershipChangeKind, member = learner) => {
    const request = toRequestId(`${kind} ${member}`);
    const outputs = leader.give({
      kind: InputKind.ChangeMembership,
      request,
      change: { kind, member },
    });
    const refused = outputs.find((output) => output.kind === OutputKind.ProposalRefused);
    return refused?.fault.message ?? 'appended';
  };
  const { AddLearner, PromoteLearner, RemoveMember } = MembershipChangeKind;
  const answers = [change(AddLearner)];
  leader.receive(createAppendResponse(b, a, { matchIndex: 1 }));
  answers.push(change(PromoteLearner), change(AddLearner, b), change(AddLearner));
  answers.push(change(RemoveMember, c));
  leader.receive(createAppendResponse(b, a, { matchIndex: 2 }));
  leader.persist();
  for (let index = 0; index < 65; index++) {
    leader.give({ kind: InputKind.Propose, request: toRequestId(String(index)), command: 'x' });
  }
  answers.push(change(PromoteLearner));
  leader.receive(createAppendResponse(learner, a, { matchIndex: 3 }));
  answers.push(change(PromoteLearner), change(AddLearner));
  expect(answers).toMatchInlineSnapshot(`
    [
      "An earlier membership change is not yet committed.",
      "Member "d" is not known.",
      "Member "b" is already there.",
      "appended",
      "An earlier membership change is not yet committed.",
      "Learner "d" has not caught up yet.",
      "appended",
      "An earlier membership change is not yet committed.",
    ]
  `);
});

test('a member campaigns and grants pre-votes soon after its start only if it acknowledged no leader recently', () => {
  const restarted = new ScriptedMember(a, scriptedVoters, { nowMs: 500, silentSinceMs: 0 });
  const request = { from: b, to: a, term: 0, campaign: 1, lastIndex: 0, lastTerm: 0 };
  const [answer] = restarted.receive({ ...request, kind: MessageKind.PreVoteRequest });
  expect(answer).toMatchObject({ message: { granted: true } });
  restarted.tickAt(500 + defaultConsensusSettings.heartbeatMs);
  expect(restarted.member.role).toBe(Role.PreCandidate);

  const quicklyRestarted = new ScriptedMember(a, scriptedVoters, { nowMs: 100, silentSinceMs: 0 });
  const [refusal] = quicklyRestarted.receive({ ...request, kind: MessageKind.PreVoteRequest });
  expect(refusal).toMatchObject({ message: { granted: false } });
  quicklyRestarted.tickAt(100 + defaultConsensusSettings.heartbeatMs);
  expect(quicklyRestarted.member.role).toBe(Role.Follower);
});

function createAppend(round: number, entries: readonly LogEntry<string>[]) {
  const request = { from: a, to: b, term: 1, round, sentMs: 5, previousIndex: 0, previousTerm: 0 };
  return { kind: MessageKind.AppendRequest as const, ...request, entries, commitIndex: 0 };
}

test('a member whose disk is stalled raises no term and grants no pre-vote', () => {
  const stalled = new ScriptedMember(b, scriptedVoters);
  stalled.receive(createAppend(1, []));
  stalled.persist();
  stalled.receive(createAppend(2, [createEntry(1)]));
  for (let nowMs = 10; nowMs < 10_000; nowMs += 10) {
    stalled.tickAt(nowMs);
  }
  expect([stalled.member.role, stalled.member.term, stalled.member.leader]).toEqual([
    'follower',
    1,
    undefined,
  ]);
  const request = { from: c, to: b, term: 1, campaign: 1, lastIndex: 9, lastTerm: 1 };
  const candidacy = { ...request, kind: MessageKind.PreVoteRequest } as const;
  expect(stalled.receive(candidacy)).toMatchObject([{ message: { granted: false } }]);
  stalled.persist();
  expect(stalled.receive(candidacy)).toMatchObject([{ message: { granted: true } }]);
});

test('a candidate whose own vote is not durable starts no other campaign, and can win once it is durable', () => {
  const stalled = new ScriptedMember(a, scriptedVoters);
  stalled.tickAt(300);
  const ballot = { from: b, to: a, term: 0, campaign: 1, granted: true };
  stalled.receive({ ...ballot, kind: MessageKind.PreVoteResponse });
  for (let nowMs = 310; nowMs < 10_000; nowMs += 10) {
    expect(stalled.tickAt(nowMs)).toEqual([]);
  }
  expect([stalled.member.role, stalled.member.term]).toEqual(['candidate', 1]);
  const released = stalled.persist();
  expect(released.length).toBeLessThan(20);
  expect(released).toMatchObject(released.map(() => ({ message: { kind: 'vote-request' } })));
  stalled.receive({ ...ballot, kind: MessageKind.VoteResponse, term: 1, campaign: 2 });
  expect(stalled.member.role).toBe(Role.Leader);
});

test('the number of responses that wait for a stalled disk is bounded', () => {
  const stalled = new ScriptedMember(b, scriptedVoters);
  for (let round = 1; round < 10 * MAXIMUM_HELD_MESSAGES; round++) {
    stalled.receive(createAppend(round, []));
  }
  expect(stalled.persist().length).toBe(MAXIMUM_HELD_MESSAGES);
});
