import type { AccountId, LeaseId } from '../../common/ids/index.js';
import type { TokenMessageKind } from './tokenMessageKind.js';

/** A portion of an account's tokens; also acknowledges the settlements of the request it answers. */
export interface TokenGrant {
  readonly kind: TokenMessageKind.Grant;
  readonly account: AccountId;
  readonly lease: LeaseId;
  /** Sequence of the request that this answers. */
  readonly sequence: number;
  readonly amount: number;
  /** Life of the grant, counted by the entry daemon from when it sent the request. */
  readonly validityMs: number;
  /** How long the holder kept the request before it answered. */
  readonly heldMs: number;
  /** Tokens that the holder could still grant after this. */
  readonly available: number;
  /** Tokens a second that the entry daemon can count on at the least. */
  readonly share: number;
  /** All entry daemons together ask for more than the rate. */
  readonly contended: boolean;
  /** The bucket began empty a short while ago: few tokens left say little of the demand. */
  readonly starting: boolean;
}
