import type { AccountId, GroupId, HostId } from '../../../common/ids/index.js';
import type { DaemonLease } from '../../leases/daemonLease.js';
import type { DaemonLeases } from '../../leases/daemonLeases.js';
import type { ControlState } from '../controlState.js';
import type { Placement, SpareHosts } from '../placement/index.js';
import { RecordKind } from '../recordKind.js';
import type { WorkQueue } from './workQueue.js';
import type { ControlSettings } from './controlSettings.js';
import { GroupTracker } from './groupTracker.js';
import type { Outbox } from './outbox.js';

/** What the parts of the control leader share. */
export interface LeaderContext {
  readonly settings: ControlSettings;
  readonly state: ControlState;
  readonly leases: DaemonLeases;
  readonly groupPlacement: Placement;
  readonly accountPlacement: Placement;
  readonly spareHosts: SpareHosts;
  readonly groupQueue: WorkQueue<GroupId>;
  readonly accountQueue: WorkQueue<AccountId>;
  readonly trackers: Map<GroupId, GroupTracker>;
  readonly outbox: Outbox;
  /** When this host began to lead. */
  sinceMs: number;
  host: HostId;
}

/** Whether the daemons had time to find this leader. */
export function isSettled(context: LeaderContext, nowMs: number): boolean {
  return nowMs - context.sinceMs >= context.settings.fleetSettleMs;
}

/** The watch of a group, created when there is none. */
export function getTracker(context: LeaderContext, group: GroupId): GroupTracker {
  const present = context.trackers.get(group);
  if (present !== undefined) {
    return present;
  }
  const tracker = new GroupTracker();
  context.trackers.set(group, tracker);
  return tracker;
}

/** Notes which host holds a group, by the name of its record; undefined for none. */
export function placeGroup(context: LeaderContext, name: string, host: HostId | undefined): void {
  context.groupPlacement.place(name, host);
  context.spareHosts.placeGroup(name, host);
}

/** Notes which host is a replica's reader, by the name of its record; undefined for none. */
export function placeReader(context: LeaderContext, name: string, host: HostId | undefined): void {
  const { spareHosts, groupPlacement } = context;
  for (const changed of spareHosts.placeReader(name, host)) {
    groupPlacement.setReading(changed, spareHosts.countReaders(changed) > 0);
  }
}

/**
 * Notes that a host lost a lease that it renewed here, before that one is retired: it may have the next
 * one already, but can carry no more than before, so that its groups are to go elsewhere.
 */
export function avoidHostOfLostLease(context: LeaderContext, lost: DaemonLease | undefined): void {
  if (lost?.isLive !== true) {
    return;
  }
  for (const held of context.state.getHeld(lost.lease)) {
    if (held.kind === RecordKind.GroupHolder) {
      getTracker(context, held.group).avoidedHost = lost.host;
    }
  }
}
