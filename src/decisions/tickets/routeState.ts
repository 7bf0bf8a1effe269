import type { AccountId, GroupId } from '../../common/ids/index.js';
import type { Consistency } from './consistency.js';
import type { SubjectKind } from './subjectKind.js';

/** Full state of a route, which callers select by database name. */
export interface RouteState {
  readonly kind: SubjectKind.Route;
  /** The database name in the caller's start-up message. */
  readonly route: string;
  readonly group: GroupId;
  /** When set, callers need no key and all run as this client account. */
  readonly openAs?: AccountId;
  /** When set, only these client accounts may use the route. */
  readonly accounts?: readonly AccountId[];
  /** Consistency of reads; session consistency if absent. */
  readonly consistency?: Consistency;
  /** Maximum age of the data that reads may observe, in milliseconds. */
  readonly maximumStalenessMs?: number;
  /** Time limit of a statement, in milliseconds. */
  readonly statementTimeoutMs?: number;
  /** Time within which callers expect an answer, in milliseconds. */
  readonly targetLatencyMs?: number;
  /** Longest time for which a transaction may be idle, in milliseconds. */
  readonly transactionIdleMs?: number;
  /** Urgency of the route's requests, 0 first; requests without one come after all others. */
  readonly priority?: number;
}
