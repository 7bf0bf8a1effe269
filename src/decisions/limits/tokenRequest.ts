import type { AccountId, HostId, Incarnation, LeaseId } from '../../common/ids/index.js';
import type { Settlement } from './settlement.js';
import type { TokenMessageKind } from './tokenMessageKind.js';

/**
 * An entry daemon's request for tokens of one account. It replaces every earlier request of the
 * same entry daemon: a grant for an earlier one is ignored when it arrives.
 */
export interface TokenRequest {
  readonly kind: TokenMessageKind.Request;
  readonly account: AccountId;
  readonly entry: HostId;
  readonly incarnation: Incarnation;
  /** Lease of the holder to which the request is addressed. */
  readonly lease: LeaseId;
  readonly sequence: number;
  /** Cost of the first waiting request; 0 if none waits. */
  readonly head: number;
  /** Tokens that the waiting requests lack, at least `head`; 0 if none waits. */
  readonly urgent: number;
  /** Total of the requested tokens: `urgent` and the prefetch. */
  readonly wanted: number;
  /** Measured demand in tokens per second. */
  readonly demand: number;
  /** Grants closed since the last acknowledged request. */
  readonly settled: readonly Settlement[];
}
