import { Diagnostics } from '../../../common/diagnostics/index.js';
import type { FailureDomain } from '../../../common/ids/index.js';
import {
  isAnnouncedPrimary,
  isAnnouncing,
  type GroupView,
  type InstanceView,
} from '../../promotion/index.js';
import { Acknowledgement } from '../../tickets/index.js';
import { CommandKind } from '../commandKind.js';
import { PrimaryPhase } from '../groupPrimary.js';
import type { Holder } from '../holder.js';
import { getGroupHolderRecordName } from '../recordNames.js';
import { getTracker, isSettled, placeGroup, type LeaderContext } from './leaderContext.js';

/** Decides on the holder of one group at a time. */
export class GroupPlacement {
  constructor(protected readonly context: LeaderContext) {}

  /** Proposes the next change of a group's holder; true if the group must be processed again. */
  decide(view: GroupView): boolean {
    const { state, outbox } = this.context;
    const name = getGroupHolderRecordName(view.group);
    if (outbox.isPending(name, view.nowMs)) {
      return true;
    }
    const assignment = state.getGroupAssignment(view.group);
    if (assignment?.holder === undefined || !this.isHeld(assignment.holder)) {
      this.assign(view, name);
      return true;
    }
    if (assignment.draining) {
      return false;
    }
    if (isCutOff(view)) {
      getTracker(this.context, view.group).avoidedHost = assignment.holder.host;
      this.proposeDrain(view, name, assignment.holder);
      return true;
    }
    if (this.isIsolated(view)) {
      const tracker = getTracker(this.context, view.group);
      tracker.avoidedHost = assignment.holder.host;
      tracker.isolationMovedMs = view.nowMs;
      this.proposeDrain(view, name, assignment.holder);
      return true;
    }
    return this.mustRelease(assignment.holder) && this.drain(view, name, assignment.holder);
  }

  /**
   * Whether a group should move to a host that may reach its replicas: its primary acknowledges only
   * what a replica has, replicas are alive, and the holder has reached none of them for some time.
   */
  private isIsolated(view: GroupView): boolean {
    const { group, nowMs, primary, isolatedSinceMs, acknowledgement } = view;
    const { isolationMs, isolationIntervalMs, promotion } = this.context.settings;
    const { isolationMovedMs } = getTracker(this.context, group);
    const isAlive = (each: InstanceView): boolean =>
      each.instance !== primary?.instance && !each.leaving && isAnnouncing(view, each, promotion);
    return (
      acknowledgement === Acknowledgement.Synchronous &&
      primary?.phase === PrimaryPhase.Serving &&
      isolatedSinceMs !== undefined &&
      nowMs - isolatedSinceMs >= isolationMs &&
      nowMs - isolationMovedMs >= isolationIntervalMs &&
      this.context.groupPlacement.hostCount > 1 &&
      view.instances.some(isAlive)
    );
  }

  /**
   * Whether a recorded holder still holds the group: until its release or retirement is committed.
   */
  protected isHeld(holder: Holder): boolean {
    return !this.context.state.isRetired(holder.lease);
  }

  private assign(view: GroupView, name: string): void {
    const { state, outbox, groupPlacement, leases } = this.context;
    const { group, nowMs } = view;
    const near = this.findNear(view);
    const isAwaitingPrimary = near === undefined && this.mayBeAnnounced(view);
    if (!isSettled(this.context, nowMs) || isAwaitingPrimary) {
      return;
    }
    const avoid = getTracker(this.context, group).avoidedHost;
    const request = {
      key: group,
      ...(near === undefined ? {} : { near }),
      ...(avoid === undefined ? {} : { avoid }),
    };
    const host = groupPlacement.choose(request, nowMs);
    const lease = host === undefined ? undefined : leases.getByHost(host);
    if (host === undefined || lease === undefined) {
      return;
    }
    const holder = { host, lease: lease.lease, address: lease.address };
    const expected = state.getRecordRevision(name);
    const command = { kind: CommandKind.AssignGroup, group, holder, expected } as const;
    if (outbox.propose(name, command, nowMs)) {
      placeGroup(this.context, name, host);
      outbox.log(Diagnostics.GroupAssigned, { group, host });
    }
  }

  /**
   * Drains a holder that must release the group, unless the primary is changing or no host is
   * eligible.
   */
  private drain(view: GroupView, name: string, holder: Holder): boolean {
    const { primary } = view;
    const isPrimaryChanging = primary !== undefined && primary.phase !== PrimaryPhase.Serving;
    if (!isPrimaryChanging && this.context.groupPlacement.hostCount > 0) {
      this.proposeDrain(view, name, holder);
    }
    return true;
  }

  private proposeDrain(view: GroupView, name: string, holder: Holder): void {
    const { state, outbox } = this.context;
    const { group, nowMs } = view;
    const expected = state.getRecordRevision(name);
    if (outbox.propose(name, { kind: CommandKind.DrainGroup, group, expected }, nowMs)) {
      outbox.log(Diagnostics.GroupDraining, { group, host: holder.host });
    }
  }

  /**
   * Whether the holder's host is stopping or its failure domain is out of service; false while its
   * lease is not live at this leader.
   */
  private mustRelease(holder: Holder): boolean {
    const { leases, state } = this.context;
    const lease = leases.get(holder.lease);
    if (lease?.isLive !== true) {
      return false;
    }
    return lease.stopping || !state.isInService(lease.domain);
  }

  /** Whether a new group's primary may still announce itself; the holder is then chosen near it. */
  private mayBeAnnounced({ primary, firstSeenMs, nowMs }: GroupView): boolean {
    const { firstPromotionMs } = this.context.settings.promotion;
    return primary === undefined && nowMs - (firstSeenMs ?? nowMs) < firstPromotionMs;
  }

  private findNear(view: GroupView): FailureDomain | undefined {
    const { primary, instances } = view;
    const known = instances.find((each) => each.instance === primary?.instance);
    return (known ?? instances.find((each) => isAnnouncedPrimary(each)))?.domain;
  }
}

/**
 * Whether a holder that fenced the term reaches no instance, although some announced themselves
 * since.
 */
function isCutOff(view: GroupView): boolean {
  const { holder, instances } = view;
  const fencedAtMs = holder?.fencedAtMs;
  if (fencedAtMs === undefined) {
    return false;
  }
  const isAnnounced = instances.some(
    ({ announced }) => announced !== undefined && announced.earliestReceiptMs > fencedAtMs,
  );
  return isAnnounced && instances.every(({ observed }) => observed?.reachable === false);
}
