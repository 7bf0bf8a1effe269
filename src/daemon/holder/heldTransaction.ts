import type { RequestId } from '../../common/ids/index.js';
import type { BackendLink } from '../backend/index.js';
import type { HeldInstance } from './heldInstance.js';
import type { HeldRequest } from './heldRequest.js';

/** An open transaction and the backend connection that it holds. */
export interface HeldTransaction {
  /** Named by the caller's next request; the id of the request that opened it. */
  readonly id: RequestId;
  readonly instance: HeldInstance;
  readonly connection: BackendLink;
  /** The request that runs or waits in it. */
  current: HeldRequest | undefined;
}
