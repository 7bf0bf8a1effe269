import { z } from 'zod';
import { EntryKind, type LogEntry } from './logEntry.js';
import { toMemberId } from './memberId.js';
import { MessageKind, type AppendRequest, type ConsensusMessage } from './message.js';

const MAXIMUM_IDENTITY_LENGTH = 256;
const MAXIMUM_MEMBERS = 256;

const count = z.int().min(0);
const member = z.string().min(1).max(MAXIMUM_IDENTITY_LENGTH).transform(toMemberId);
const members = z.array(member).max(MAXIMUM_MEMBERS);
const membership = z.strictObject({ voters: members, learners: members });
const snapshot = z.strictObject({
  index: count,
  term: count,
  membership,
  state: z.instanceof(Uint8Array),
});

const base = { from: member, to: member, term: count };
const candidacy = { ...base, campaign: count, lastIndex: count, lastTerm: count };
const ballot = { ...base, campaign: count, granted: z.boolean() };
const leaderContact = { ...base, round: count, sentMs: z.number() };

/**
 * Creates a schema for messages received from other hosts. It checks their shape, and that the
 * entries of an append request are contiguous; `command` validates the commands in them.
 */
export function createMessageSchema<Command>(
  command: z.ZodType<Command>,
): z.ZodType<ConsensusMessage<Command>> {
  const appendRequest = z.strictObject({
    ...leaderContact,
    kind: z.literal(MessageKind.AppendRequest),
    previousIndex: count,
    previousTerm: count,
    entries: z.array(createEntrySchema(command)),
    commitIndex: count,
  });
  return z.discriminatedUnion('kind', [
    z.strictObject({ ...candidacy, kind: z.literal(MessageKind.PreVoteRequest) }),
    z.strictObject({ ...ballot, kind: z.literal(MessageKind.PreVoteResponse) }),
    z.strictObject({
      ...candidacy,
      kind: z.literal(MessageKind.VoteRequest),
      isTransfer: z.boolean(),
    }),
    z.strictObject({ ...ballot, kind: z.literal(MessageKind.VoteResponse) }),
    appendRequest.refine(
      hasContiguousEntries,
      'entries must be contiguous after the previous index',
    ),
    appendResponse,
    z.strictObject({ ...leaderContact, kind: z.literal(MessageKind.SnapshotRequest), snapshot }),
    z.strictObject({ ...base, kind: z.literal(MessageKind.TransferRequest) }),
  ]);
}

const appendResponse = z.strictObject({
  ...leaderContact,
  kind: z.literal(MessageKind.AppendResponse),
  requestTerm: count,
  accepted: z.boolean(),
  matchIndex: count,
  refusedIndex: count,
  nextIndex: count,
});

function createEntrySchema<Command>(command: z.ZodType<Command>): z.ZodType<LogEntry<Command>> {
  const entryBase = { index: z.int().min(1), term: count };
  return z.union([
    z.strictObject({
      ...entryBase,
      kind: z.literal(EntryKind.Command),
      command,
      sizeBytes: count,
    }),
    z.strictObject({ ...entryBase, kind: z.literal(EntryKind.Membership), membership }),
    z.strictObject({ ...entryBase, kind: z.literal(EntryKind.Empty) }),
  ]);
}

function hasContiguousEntries<Command>(
  request: Pick<AppendRequest<Command>, 'term' | 'previousIndex' | 'previousTerm' | 'entries'>,
): boolean {
  let lastTerm = request.previousTerm;
  return request.entries.every((entry, offset) => {
    const isContiguous =
      entry.index === request.previousIndex + offset + 1 && entry.term >= lastTerm;
    lastTerm = entry.term;
    return isContiguous && entry.term <= request.term;
  });
}
