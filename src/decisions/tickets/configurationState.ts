import type { AccountState } from './accountState.js';
import type { GroupState } from './groupState.js';
import type { RouteState } from './routeState.js';
import type { SubjectKind } from './subjectKind.js';

/** A client account as part of a complete configuration; its keys are digests, not verifiers. */
export interface ConfiguredAccount extends Omit<AccountState, 'keys' | 'salt' | 'iterations'> {
  /** Digests of the valid keys. */
  readonly keyDigests: readonly string[];
}

/**
 * Complete configuration for serving callers, replaced atomically: whatever it does not name is
 * removed by the ticket that contains it.
 */
export interface ConfigurationState {
  readonly kind: SubjectKind.Configuration;
  readonly routes: readonly RouteState[];
  readonly accounts: readonly ConfiguredAccount[];
  readonly groups: readonly GroupState[];
  /** Text that operators submitted, returned unchanged. */
  readonly source: string;
}
