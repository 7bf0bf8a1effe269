import type { AccountId, GroupId } from '../../common/ids/index.js';
import type { Consistency } from './consistency.js';
import type { SubjectKind } from './subjectKind.js';

/** The whole state of a route: the database name that callers ask for. */
export interface RouteState {
  readonly kind: SubjectKind.Route;
  /** The database name in the caller's start-up message. */
  readonly route: string;
  readonly group: GroupId;
  /** When set, callers need no key and all run as this client account. */
  readonly openAs?: AccountId;
  /** When set, only these client accounts may use the route. */
  readonly accounts?: readonly AccountId[];
  /** What reads have to see; session consistency when absent. */
  readonly consistency?: Consistency;
  /** Oldest data that reads may see, in milliseconds. */
  readonly maximumStalenessMs?: number;
  /** Longest time of a statement, in milliseconds. */
  readonly statementTimeoutMs?: number;
  /** Time within which callers want an answer, in milliseconds. */
  readonly targetLatencyMs?: number;
  /** Longest time for which a transaction may idle, in milliseconds. */
  readonly transactionIdleMs?: number;
}
