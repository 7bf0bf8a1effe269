import type { TimerService } from '../../src/common/timer/index.js';
import type { LoadStatement } from './loadStatement.js';

/** When an account's requests begin. */
export type Arrival =
  | {
      /** At random times that the seed decides, whether or not earlier ones have ended. */
      readonly kind: 'open';
      readonly ratePerSecond: number;
    }
  /** Each session begins one as soon as its last has ended. */
  | { readonly kind: 'closed' };

/** A statement and how often it is chosen, relative to the others. */
export interface MixEntry {
  readonly statement: LoadStatement;
  readonly weight: number;
}

/** One client account of a load. */
export interface LoadAccount {
  readonly name: string;
  readonly key?: string;
  readonly arrival: Arrival;
  /** Connections that the account holds. */
  readonly sessions: number;
  readonly mix: readonly MixEntry[];
}

/** What a load does. */
export interface LoadSettings {
  /** The `ip:port` of the servers; sessions are spread over them. */
  readonly targets: readonly string[];
  readonly database: string;
  readonly accounts: readonly LoadAccount[];
  readonly durationMs: number;
  /** How long requests that are under way may take after the end. */
  readonly drainMs: number;
  readonly seed: number;
  readonly timer: TimerService;
  /** After how many requests a session goes on at the next target with its token; never if absent. */
  readonly roamAfter?: number;
  /** After how long a caller gives its request up. */
  readonly requestTimeoutMs: number;
}
