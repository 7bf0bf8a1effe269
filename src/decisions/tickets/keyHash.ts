/** The salted verifier of one key (SCRAM-SHA-256, base64); the key itself is never stored. */
export interface KeyHash {
  /** Names the key towards operators; not secret. */
  readonly id: string;
  readonly storedKey: string;
  readonly serverKey: string;
}
