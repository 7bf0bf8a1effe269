import { Diagnostics } from '../../../common/diagnostics/index.js';
import type { FailureDomain, GroupId, HostId } from '../../../common/ids/index.js';
import { CommandKind } from '../commandKind.js';
import { PrimaryPhase } from '../groupPrimary.js';
import { getGroupHolderRecordName } from '../recordNames.js';
import { getTracker, type LeaderContext } from './leaderContext.js';

/** Time for which a primary has to serve before its holder follows it. */
const SETTLED_MS = 5000;
/** Minimum time between two such moves of one group. */
const MOVE_INTERVAL_MS = 60_000;
/** Maximum number of groups that are looked at in one run. */
const GROUPS_PER_RUN = 512;

/**
 * Moves groups to a holder in the failure domain of their primary. A holder is chosen near the
 * primary when it is assigned, but a promotion may move the primary afterwards. A group moves only
 * to a host that holds no more groups than its present one, so that the balance of loads neither
 * prevents the move nor undoes it.
 */
export class HolderLocality {
  private next = 0;
  private readonly movedMs = new Map<GroupId, number>();

  constructor(private readonly context: LeaderContext) {}

  /** Begins at most one move. */
  run(nowMs: number): void {
    const groups = this.context.state.getGroups();
    const count = Math.min(groups.length, GROUPS_PER_RUN);
    for (let index = 0; index < count; index += 1) {
      const group = groups[this.next % groups.length];
      this.next = (this.next + 1) % groups.length;
      if (group !== undefined && this.tryMove(group, nowMs)) {
        return;
      }
    }
  }

  private tryMove(group: GroupId, nowMs: number): boolean {
    const { state, leases, outbox } = this.context;
    const assignment = state.getGroupAssignment(group);
    const lease = assignment?.holder && leases.get(assignment.holder.lease);
    const domain = this.getPrimaryDomain(group, nowMs);
    const isFar = lease?.isLive === true && domain !== undefined && domain !== lease.domain;
    if (!isFar || assignment?.draining === true || this.hasMoved(group, nowMs)) {
      return false;
    }
    const name = getGroupHolderRecordName(group);
    const isResting = this.context.loadPlacement?.groups.isResting(name, nowMs) === true;
    if (isResting || !this.hasNearHost(group, domain, lease.host, nowMs)) {
      return false;
    }
    const expected = state.getRecordRevision(name);
    if (!outbox.propose(name, { kind: CommandKind.DrainGroup, group, expected }, nowMs)) {
      return false;
    }
    this.movedMs.set(group, nowMs);
    outbox.log(Diagnostics.GroupDraining, { group, host: lease.host });
    return true;
  }

  /** Returns the failure domain of a primary that has served for some time. */
  private getPrimaryDomain(group: GroupId, nowMs: number): FailureDomain | undefined {
    const { state, sinceMs } = this.context;
    const primary = state.getPrimary(group);
    const { servingSinceMs = sinceMs } = getTracker(this.context, group);
    const isSettled = nowMs - servingSinceMs >= SETTLED_MS;
    return primary?.phase === PrimaryPhase.Serving && isSettled
      ? state.getInstance(group, primary.instance)?.domain
      : undefined;
  }

  private hasMoved(group: GroupId, nowMs: number): boolean {
    const movedMs = this.movedMs.get(group);
    const isRecent = movedMs !== undefined && nowMs - movedMs < MOVE_INTERVAL_MS;
    if (!isRecent) {
      this.movedMs.delete(group);
    }
    return isRecent;
  }

  /** Whether the group would be placed near its primary, on a host that holds no more groups. */
  private hasNearHost(group: GroupId, near: FailureDomain, from: HostId, nowMs: number): boolean {
    const { groupPlacement, leases } = this.context;
    const { avoidedHost: avoid } = getTracker(this.context, group);
    const request = { key: group, near, ...(avoid === undefined ? {} : { avoid }) };
    const host = groupPlacement.choose(request, nowMs);
    return (
      host !== undefined &&
      leases.getByHost(host)?.domain === near &&
      groupPlacement.getLoad(host) <= groupPlacement.getLoad(from)
    );
  }
}
