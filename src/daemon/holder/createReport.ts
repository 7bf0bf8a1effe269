import { toLogPosition, toTerm, type GroupId } from '../../common/ids/index.js';
import type { GroupReport, InstanceObservation } from '../../decisions/control/index.js';
import type { GroupWrites } from './groupWrites.js';
import type { HeldInstance } from './heldInstance.js';

/** Creates the report on a held group for the control leader. */
export function createReport(
  group: GroupId,
  writes: GroupWrites,
  instances: Iterable<HeldInstance>,
): GroupReport {
  const sightings: InstanceObservation[] = [];
  for (const instance of instances) {
    // Positions observed before the primary was fenced may be behind the last acknowledged write.
    const stateMs = instance.fullState?.sentMs ?? 0;
    if (!writes.isFenced || stateMs >= writes.fencedMs) {
      sightings.push(createObservation(instance));
    }
  }
  const acknowledged = writes.acknowledged?.position ?? toLogPosition(0);
  const { fencedTerm, confirmed } = writes;
  return { group, fencedTerm, acknowledged, confirmed, sightings };
}

function createObservation({ id, monitor, fullState: state }: HeldInstance): InstanceObservation {
  return {
    instance: id,
    reachable: monitor.health.isReachable && state !== undefined,
    term: state?.term ?? toTerm(0),
    position: state?.position ?? toLogPosition(0),
    ...(state?.isPrimary === undefined ? {} : { isPrimary: state.isPrimary }),
  };
}
