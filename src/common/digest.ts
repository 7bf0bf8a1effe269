import { createHash } from 'node:crypto';

/** Returns the SHA-256 digest of a text as 43 base64url characters; deterministic across hosts. */
export function getDigest(text: string): string {
  return createHash('sha256').update(text).digest('base64url');
}
