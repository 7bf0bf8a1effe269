import type { RequestId } from '../../common/ids/index.js';
import type { BackendLink } from '../backend/index.js';
import type { HeldInstance } from './heldInstance.js';
import type { HeldRequest } from './heldRequest.js';

/** An open transaction and the backend connection that it holds. */
export interface HeldTransaction {
  /** Id of the request that opened the transaction; the caller's next request names it. */
  readonly id: RequestId;
  readonly instance: HeldInstance;
  readonly connection: BackendLink;
  /** The request of the transaction that runs or waits. */
  current: HeldRequest | undefined;
}
