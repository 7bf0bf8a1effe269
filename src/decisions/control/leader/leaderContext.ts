import type { AccountId, GroupId, HostId } from '../../../common/ids/index.js';
import type { DaemonLease } from '../../leases/daemonLease.js';
import type { DaemonLeases } from '../../leases/daemonLeases.js';
import type { ControlState } from '../controlState.js';
import type { Placement } from '../placement/index.js';
import { RecordKind } from '../recordKind.js';
import type { Agenda } from './agenda.js';
import type { ControlSettings } from './controlSettings.js';
import { GroupWatch } from './groupWatch.js';
import type { Outbox } from './outbox.js';

/** What the parts of the control leader share. */
export interface LeaderContext {
  readonly settings: ControlSettings;
  readonly state: ControlState;
  readonly leases: DaemonLeases;
  readonly groupPlacement: Placement;
  readonly accountPlacement: Placement;
  readonly groupAgenda: Agenda<GroupId>;
  readonly accountAgenda: Agenda<AccountId>;
  readonly watches: Map<GroupId, GroupWatch>;
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
export function getWatch(context: LeaderContext, group: GroupId): GroupWatch {
  const present = context.watches.get(group);
  if (present !== undefined) {
    return present;
  }
  const watch = new GroupWatch();
  context.watches.set(group, watch);
  return watch;
}

/**
 * Notes that a host lost a lease that it renewed here, before that one is retired: it may have the next
 * one already, but can carry no more than before, so that its groups are to go elsewhere.
 */
export function avoidLoser(context: LeaderContext, lost: DaemonLease | undefined): void {
  if (lost?.isLive !== true) {
    return;
  }
  for (const held of context.state.getHeld(lost.lease)) {
    if (held.kind === RecordKind.GroupHolder) {
      getWatch(context, held.group).avoidedHost = lost.host;
    }
  }
}
