import type { SessionPosition } from '../../decisions/sessions/index.js';
import type { ProbeAnswer } from '../backend/index.js';
import type { HeldRequest } from './heldRequest.js';

/** What requests need of the acknowledgement of writes. */
export interface WriteAcknowledger {
  /** The furthest position at which the primary was seen. */
  readonly primaryPosition: SessionPosition | undefined;
  /** The furthest position acknowledged to callers; absent until it is known. */
  readonly acknowledged: SessionPosition | undefined;
  /** Acknowledges a committed write, at once or later. */
  confirm(request: HeldRequest, written: ProbeAnswer | undefined): void;
}
