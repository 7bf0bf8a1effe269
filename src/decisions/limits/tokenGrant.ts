import type { AccountId, LeaseId } from '../../common/ids/index.js';
import type { TokenMessageKind } from './tokenMessageKind.js';

/**
 * A portion of an account's tokens; also acknowledges the settlements of the request it answers.
 */
export interface TokenGrant {
  readonly kind: TokenMessageKind.Grant;
  readonly account: AccountId;
  readonly lease: LeaseId;
  /** Sequence number of the request that this grant answers. */
  readonly sequence: number;
  readonly amount: number;
  /** Validity of the grant, counted by the entry daemon from when it sent the request. */
  readonly validityMs: number;
  /** Time for which the holder kept the request before it answered. */
  readonly heldMs: number;
  /** Tokens that the holder can still grant after this grant. */
  readonly available: number;
  /** Minimum rate, in tokens per second, that the entry daemon can rely on. */
  readonly share: number;
  /** Whether all entry daemons together demand more than the rate. */
  readonly contended: boolean;
  /**
   * Whether the bucket is still filling after its start; few available tokens then do not indicate
   * high demand.
   */
  readonly starting: boolean;
}
