import type { AccountId, GroupId, HostId } from '../../../common/ids/index.js';
import type { DaemonLease } from '../../leases/daemonLease.js';
import type { DaemonLeases } from '../../leases/daemonLeases.js';
import type { ControlState } from '../controlState.js';
import {
  ResourceKind,
  type FleetWork,
  type Placement,
  type SpareHosts,
  type WeightedPlacement,
} from '../placement/index.js';
import { RecordKind } from '../recordKind.js';
import type { WorkQueue } from './workQueue.js';
import type { ControlSettings } from './controlSettings.js';
import { GroupTracker } from './groupTracker.js';
import type { Outbox } from './outbox.js';

/** Placement by load, with the work that it is based on. */
export interface LoadPlacement {
  readonly work: FleetWork;
  readonly groups: WeightedPlacement;
  readonly accounts: WeightedPlacement;
}

/** State shared by the parts of the control leader. */
export interface LeaderContext {
  readonly settings: ControlSettings;
  readonly state: ControlState;
  readonly leases: DaemonLeases;
  readonly groupPlacement: Placement;
  readonly accountPlacement: Placement;
  readonly spareHosts: SpareHosts;
  /** Present where resources are placed by load; the two placements are then those of it. */
  readonly loadPlacement?: LoadPlacement;
  readonly groupQueue: WorkQueue<GroupId>;
  readonly accountQueue: WorkQueue<AccountId>;
  readonly trackers: Map<GroupId, GroupTracker>;
  readonly outbox: Outbox;
  /** Time at which this host became leader. */
  sinceMs: number;
  host: HostId;
}

/** Whether the daemons have had time to find this leader. */
export function isSettled(context: LeaderContext, nowMs: number): boolean {
  return nowMs - context.sinceMs >= context.settings.fleetSettleMs;
}

/** Returns the tracker of a group; creates it if there is none. */
export function getTracker(context: LeaderContext, group: GroupId): GroupTracker {
  const present = context.trackers.get(group);
  if (present !== undefined) {
    return present;
  }
  const tracker = new GroupTracker();
  context.trackers.set(group, tracker);
  return tracker;
}

/** Records which host holds a group, by the name of its record; undefined for none. */
export function placeGroup(context: LeaderContext, name: string, host: HostId | undefined): void {
  context.groupPlacement.place(name, host);
  context.spareHosts.placeGroup(name, host);
}

/** Records which host is a replica's reader, by the name of its record; undefined for none. */
export function placeReader(context: LeaderContext, name: string, host: HostId | undefined): void {
  const { spareHosts, groupPlacement, loadPlacement } = context;
  loadPlacement?.work.place(ResourceKind.Reader, name, host);
  for (const changed of spareHosts.placeReader(name, host)) {
    groupPlacement.setReading(changed, spareHosts.countReaders(changed) > 0);
  }
}

/**
 * Avoids the host of a lost lease in the next assignment of the groups held under that lease. The
 * host may already have its next lease, but has no more capacity than when it lost this one. Must
 * be called before the lease is retired; does nothing for a lease that was not renewed at this
 * leader.
 */
export function avoidHostOfLostLease(context: LeaderContext, lost: DaemonLease | undefined): void {
  if (lost?.isLive !== true) {
    return;
  }
  for (const held of context.state.getAssignments(lost.lease)) {
    if (held.kind === RecordKind.GroupHolder) {
      getTracker(context, held.group).avoidedHost = lost.host;
    }
  }
}
