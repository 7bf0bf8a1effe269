import type { SessionPosition } from '../../decisions/sessions/index.js';
import type { ProbeAnswer } from '../backend/index.js';
import type { HeldRequest } from './heldRequest.js';

/** Acknowledges the committed writes of a group's requests. */
export interface WriteAcknowledger {
  /** The furthest position observed at the primary; absent until it is known. */
  readonly primaryPosition: SessionPosition | undefined;
  /** The furthest position acknowledged to callers; absent until it is known. */
  readonly acknowledged: SessionPosition | undefined;
  /** Acknowledges a committed write, immediately or later. */
  confirm(request: HeldRequest, written: ProbeAnswer | undefined): void;
}
