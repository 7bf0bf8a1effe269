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
    const stateMs = instance.fullState?.sentMs ?? 0;
    if (!writes.isFenced || stateMs >= writes.fencedMs) {
      sightings.push(createSighting(instance));
    }
  }
  const acknowledged = writes.acknowledged?.position ?? toLogPosition(0);
  const { fencedTerm, confirmed } = writes;
  return { group, fencedTerm, acknowledged, confirmed, sightings };
}

function createSighting({ id, monitor, fullState: state }: HeldInstance): InstanceSighting {
  return {
    instance: id,
    reachable: monitor.health.isReachable && state !== undefined,
    term: state?.term ?? toTerm(0),
    position: state?.position ?? toLogPosition(0),
    ...(state?.isPrimary === undefined ? {} : { isPrimary: state.isPrimary }),
  };
}
