import { createHash, createHmac, pbkdf2Sync } from 'node:crypto';

const DIGEST = 'sha256';
const KEY_BYTES = 32;

/** Keys that a SCRAM-SHA-256 server stores in place of the password, in base64. */
export interface KeyVerifier {
  readonly storedKey: string;
  readonly serverKey: string;
}

/** Computes the verifier of a password (`key`) as RFC 5802 defines it; `salt` is base64. */
export function createKeyVerifier(key: string, salt: string, iterations: number): KeyVerifier {
  const salted = pbkdf2Sync(key, Buffer.from(salt, 'base64'), iterations, KEY_BYTES, DIGEST);
  const clientKey = createHmac(DIGEST, salted).update('Client Key').digest();
  return {
    storedKey: createHash(DIGEST).update(clientKey).digest('base64'),
    serverKey: createHmac(DIGEST, salted).update('Server Key').digest('base64'),
  };
}
