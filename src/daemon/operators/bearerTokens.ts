import { createHash, timingSafeEqual } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';

const BEARER = /^Bearer +([\x21-\x7e]{1,4096}) *$/i;

/** The bearer tokens that grant access to one part of the HTTP interface. */
export class BearerTokens {
  private readonly digests: readonly Buffer[];

  constructor(tokens: readonly string[]) {
    this.digests = tokens.map(computeDigest);
  }

  /** Whether an `Authorization` header carries one of the tokens; compares in constant time. */
  isAuthorized(header: string | undefined): boolean {
    const token = BEARER.exec(header ?? '')?.[1];
    if (token === undefined) {
      return false;
    }
    const digest = computeDigest(token);
    let isKnown = false;
    for (const known of this.digests) {
      isKnown = timingSafeEqual(known, digest) || isKnown;
    }
    return isKnown;
  }
}

/** Reads a token file with one token per line, so that an old and a new token can both be valid. */
export function tryReadBearerTokens(file: string): Result<BearerTokens, Fault> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (cause) {
    return err(createFileFault(file, String(cause)));
  }
  const tokens = text.split('\n').map((line) => line.trim());
  const present = tokens.filter((token) => token !== '');
  return present.length > 0
    ? ok(new BearerTokens(present))
    : err(createFileFault(file, 'the file contains no token'));
}

function computeDigest(token: string): Buffer {
  return createHash('sha256').update(token).digest();
}

function createFileFault(file: string, problem: string): Fault {
  return createFault(
    Diagnostics.FileUnreadable,
    { file, problem },
    { step: 'operators.tokens', peer: file },
  );
}
