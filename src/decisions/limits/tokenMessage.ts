import type { TokenGrant } from './tokenGrant.js';
import type { TokenRecall } from './tokenRecall.js';
import type { TokenRequest } from './tokenRequest.js';
import type { TokenReturn } from './tokenReturn.js';

/** A message from an entry daemon to an account's holder. */
export type MessageToHolder = TokenRequest | TokenReturn;

/** A message from an account's holder to an entry daemon. */
export type MessageToEntry = TokenGrant | TokenRecall;

/** Any message of the token exchange. */
export type TokenMessage = MessageToHolder | MessageToEntry;
