import type { InstanceRole } from '../../src/decisions/control/index.js';
import type { TermStart } from '../log/index.js';

/** A present count, its highest value ever, and its bound. */
export interface Usage {
  readonly now: number;
  readonly maximum: number;
  readonly limit: number;
}

/** What an instance tells tests of itself. */
export interface InstanceStatus {
  readonly instance: string;
  readonly role: InstanceRole;
  readonly isServing: boolean;
  readonly term: number;
  readonly highestTerm: number;
  readonly position: number;
  readonly history: readonly TermStart[];
  readonly records: number;
  readonly connections: Usage & { readonly refused: number };
  /** Statements that hold a slot. */
  readonly executing: Usage & { readonly queued: number };
  /** Statements received and not yet answered, with those that wait for a slot or a lock. */
  readonly active: Usage;
  readonly executed: number;
}
