import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import {
  toGroupId,
  toLogPosition,
  toTerm,
  type AccountId,
  type GroupId,
} from '../../common/ids/index.js';
import { getFurthest, type SessionPosition } from './sessionPosition.js';
import type { TokenSigner } from './tokenSigner.js';

const MAXIMUM_TOKEN_CHARACTERS = 8192;
const MAXIMUM_GROUPS = 64;

/** Positions that a session has observed, by database group. */
export type SessionPositions = ReadonlyMap<GroupId, SessionPosition>;

type EncodedPosition = readonly [group: string, term: number, position: number];

/** Encodes a session's positions as a token bound to the client account. */
export function createSessionToken(
  account: AccountId,
  positions: SessionPositions,
  signer: TokenSigner,
): string {
  const entries: EncodedPosition[] = [];
  for (const [group, observed] of positions) {
    entries.push([group, observed.term, observed.position]);
  }
  const content = JSON.stringify([account, entries.slice(-MAXIMUM_GROUPS)]);
  const body = Buffer.from(content, 'utf8').toString('base64url');
  return `${body}.${signer.sign(body)}`;
}

/** Decodes a token; a forged or malformed token, or one of another account, yields a fault. */
export function tryReadSessionToken(
  token: string,
  account: AccountId,
  signer: TokenSigner,
): Result<SessionPositions, Fault> {
  const [body, code, ...rest] = token.split('.');
  if (body === undefined || code === undefined || rest.length > 0) {
    return err(createMalformedTokenFault());
  }
  if (token.length > MAXIMUM_TOKEN_CHARACTERS || !signer.isSigned(body, code)) {
    return err(createMalformedTokenFault());
  }
  const content = tryDecode(body);
  if (content === undefined) {
    return err(createMalformedTokenFault());
  }
  if (content[0] !== account) {
    return err(createFault(Diagnostics.TokenForeign, {}, { step: 'session.token' }));
  }
  return ok(toPositions(content[1]));
}

/** Adds a position to a session; the position in a group never decreases. */
export function advanceSession(
  positions: Map<GroupId, SessionPosition>,
  group: GroupId,
  position: SessionPosition,
): void {
  const furthest = getFurthest(positions.get(group), position);
  if (furthest !== undefined) {
    positions.delete(group);
    positions.set(group, furthest);
  }
}

function tryDecode(body: string): readonly [string, readonly EncodedPosition[]] | undefined {
  try {
    const content: unknown = JSON.parse(Buffer.from(body, 'base64url').toString('utf8'));
    return isTokenContent(content) ? content : undefined;
  } catch {
    return undefined;
  }
}

function isTokenContent(
  content: unknown,
): content is readonly [string, readonly EncodedPosition[]] {
  if (!Array.isArray(content) || content.length !== 2 || typeof content[0] !== 'string') {
    return false;
  }
  const entries: unknown = content[1];
  return Array.isArray(entries) && entries.length <= MAXIMUM_GROUPS && entries.every(isEntry);
}

function isEntry(entry: unknown): entry is EncodedPosition {
  return (
    Array.isArray(entry) &&
    entry.length === 3 &&
    typeof entry[0] === 'string' &&
    Number.isSafeInteger(entry[1]) &&
    Number.isSafeInteger(entry[2])
  );
}

function toPositions(entries: readonly EncodedPosition[]): SessionPositions {
  const positions = new Map<GroupId, SessionPosition>();
  for (const [group, term, position] of entries) {
    positions.set(toGroupId(group), { term: toTerm(term), position: toLogPosition(position) });
  }
  return positions;
}

function createMalformedTokenFault(): Fault {
  return createFault(Diagnostics.TokenMalformed, {}, { step: 'session.token' });
}
