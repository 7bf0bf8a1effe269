import type { AccountId, LeaseId } from '../../common/ids/index.js';
import type { TokenMessageKind } from './tokenMessageKind.js';

/** Asks an entry daemon to return tokens that no request waits for. */
export interface TokenRecall {
  readonly kind: TokenMessageKind.Recall;
  readonly account: AccountId;
  readonly lease: LeaseId;
}
