import type { AccountState } from './accountState.js';
import type { GroupState } from './groupState.js';
import type { RouteState } from './routeState.js';
import type { SubjectKind } from './subjectKind.js';

/** A client account as part of a whole configuration; its keys are digests, not verifiers. */
export interface ConfiguredAccount extends Omit<AccountState, 'keys' | 'salt' | 'iterations'> {
  /** Digests of the keys that work now. */
  readonly keyDigests: readonly string[];
}

/**
 * Everything that callers are served by, replaced as one: what it does not name is gone with the
 * ticket that brought it.
 */
export interface ConfigurationState {
  readonly kind: SubjectKind.Configuration;
  readonly routes: readonly RouteState[];
  readonly accounts: readonly ConfiguredAccount[];
  readonly groups: readonly GroupState[];
  /** The text that operators sent, given back as it was. */
  readonly source: string;
}
