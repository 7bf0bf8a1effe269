import type { AccountId, HostId, Incarnation, LeaseId } from '../../common/ids/index.js';
import type { Settlement } from './settlement.js';
import type { TokenMessageKind } from './tokenMessageKind.js';

/** Report of closed grants that returns unused tokens without a request for more. */
export interface TokenReturn {
  readonly kind: TokenMessageKind.Return;
  readonly account: AccountId;
  readonly entry: HostId;
  readonly incarnation: Incarnation;
  readonly lease: LeaseId;
  readonly settled: readonly Settlement[];
}
