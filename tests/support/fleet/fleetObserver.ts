import type { GroupId } from '../../../src/common/ids/index.js';
import type { SessionPosition } from '../../../src/decisions/sessions/index.js';

/** Watches a fake fleet, to check promises that take more than one step. */
export abstract class FleetObserver {
  /** A write was acknowledged. */
  abstract acknowledged(group: GroupId, entry: string, position: SessionPosition): void;

  /** One step of the fleet is over. */
  abstract stepped(): void;
}
