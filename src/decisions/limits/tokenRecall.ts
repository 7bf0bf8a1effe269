import type { AccountId, LeaseId } from '../../common/ids/index.js';
import type { TokenMessageKind } from './tokenMessageKind.js';

/** Holder's request that an entry daemon return the tokens for which no request waits. */
export interface TokenRecall {
  readonly kind: TokenMessageKind.Recall;
  readonly account: AccountId;
  readonly lease: LeaseId;
}
