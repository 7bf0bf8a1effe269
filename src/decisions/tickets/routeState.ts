import type { AccountId, GroupId } from '../../common/ids/index.js';
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
}
