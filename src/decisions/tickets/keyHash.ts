/** The salted verifier of one key (SCRAM-SHA-256, base64); the key itself is never stored. */
export interface KeyHash {
  /** Identifies the key to operators; not secret. */
  readonly id: string;
  readonly storedKey: string;
  readonly serverKey: string;
}
