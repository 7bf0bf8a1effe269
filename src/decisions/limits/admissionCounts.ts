/** Admission counters of one account at one entry daemon. */
export interface AdmissionCounts {
  admitted: number;
  /** Refused requests by diagnostic number. */
  readonly refused: Map<number, number>;
  /** Tokens received in grants. */
  granted: number;
  /** Tokens returned unused. */
  returned: number;
}

/** Creates counts that are all zero. */
export function createAdmissionCounts(): AdmissionCounts {
  return { admitted: 0, refused: new Map(), granted: 0, returned: 0 };
}
