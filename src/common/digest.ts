import { createHash } from 'node:crypto';

/** The SHA-256 digest of a text, in 43 characters; the same on every host. */
export function getDigest(text: string): string {
  return createHash('sha256').update(text).digest('base64url');
}
