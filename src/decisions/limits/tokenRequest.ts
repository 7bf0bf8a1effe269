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
  /** The holder's lease that the request is meant for. */
  readonly lease: LeaseId;
  readonly sequence: number;
  /** Cost of the first waiting request; 0 when none waits. */
  readonly head: number;
  /** Cost of all waiting requests. */
  readonly urgent: number;
  /** Tokens asked for in all: `urgent` and what is prefetched. */
  readonly wanted: number;
  /** Measured demand in tokens a second. */
  readonly demand: number;
  /** Grants closed since the last acknowledged request. */
  readonly settled: readonly Settlement[];
}
