import { toLogPosition, toTerm, type GroupId } from '../../common/ids/index.js';
import type { GroupReport, InstanceSighting } from '../../decisions/control/index.js';
import type { GroupWrites } from './groupWrites.js';
import type { HeldInstance } from './heldInstance.js';

/** Creates what the control leader is to know of a held group. */
export function createReport(
  group: GroupId,
  writes: GroupWrites,
  instances: Iterable<HeldInstance>,
): GroupReport {
  const sightings: InstanceSighting[] = [];
  for (const instance of instances) {
    // Positions from before the fencing may be behind the last acknowledged write.
    if (!writes.isFenced || instance.probedMs >= writes.fencedMs) {
      sightings.push(createSighting(instance));
    }
  }
  const acknowledged = writes.acknowledged?.position ?? toLogPosition(0);
  return { group, fencedTerm: writes.fencedTerm, acknowledged, sightings };
}

function createSighting(instance: HeldInstance): InstanceSighting {
  const { position } = instance;
  return {
    instance: instance.id,
    reachable: instance.monitor.health.isReachable && position !== undefined,
    term: position?.term ?? toTerm(0),
    position: position?.position ?? toLogPosition(0),
  };
}
