import { Diagnostics } from '../../../common/diagnostics/index.js';
import type { FailureDomain, GroupId, HostId, InstanceId } from '../../../common/ids/index.js';
import { CommandKind } from '../commandKind.js';
import type { Holder } from '../holder.js';
import type { InstanceRecord } from '../instanceRecord.js';
import { getInstanceReaderRecordName } from '../recordNames.js';
import { placeReader, type LeaderContext } from './leaderContext.js';
import { needsReaders } from './needsReaders.js';

/** Inputs of the decision on a group's readers that are not in the records. */
interface ReaderView {
  readonly group: GroupId;
  readonly holder: HostId;
  readonly nowMs: number;
}

/**
 * Decides on the readers of one group at a time. They relieve a holder whose single link is
 * saturated by its group's reads: the reads of a replica go over the link of a host that holds no
 * group.
 */
export class ReaderPlacement {
  /** Groups with a replica for which no spare host was found. */
  protected readonly groupsLackingReaders = new Set<GroupId>();

  constructor(protected readonly context: LeaderContext) {}

  /** Proposes the next changes of a group's readers; true if the group must be processed again. */
  decide(group: GroupId, nowMs: number): boolean {
    const { state, leases } = this.context;
    this.groupsLackingReaders.delete(group);
    const holder = state.getGroupAssignment(group)?.holder;
    const lease = holder && leases.get(holder.lease);
    if (lease?.isLive !== true) {
      // The rate of the holder's link is unknown until its lease is live here: the group keeps the
      // readers that may stay.
      return this.removeLeavingReaders(group, holder?.host, nowMs);
    }
    const view = { group, holder: lease.host, nowMs };
    const instances = state.getInstances(group);
    const isNarrow = this.needsReaders(instances, lease.linkBytesPerSecond);
    const readable = isNarrow ? instances.filter((each) => this.isReadable(each)) : [];
    const readableIds = new Set(readable.map(({ instance }) => instance));
    let isWaiting = false;
    for (const { instance } of state.getReaders(group)) {
      if (!readableIds.has(instance)) {
        isWaiting = this.propose(view, instance, undefined) || isWaiting;
      }
    }
    for (const instance of readable) {
      isWaiting = this.decideInstance(view, instance) || isWaiting;
    }
    return isWaiting;
  }

  /** Queues groups that lack readers, at most as many as there are spare hosts. */
  requeueLackingGroups(): void {
    const { spareHosts, groupQueue } = this.context;
    let remaining = this.groupsLackingReaders.size === 0 ? 0 : spareHosts.size;
    for (const group of this.groupsLackingReaders) {
      if (remaining === 0) {
        break;
      }
      remaining -= 1;
      this.groupsLackingReaders.delete(group);
      groupQueue.add(group);
    }
  }

  /** Discards the state of an earlier leadership. */
  clear(): void {
    this.groupsLackingReaders.clear();
    for (const host of this.context.spareHosts.clear()) {
      this.context.groupPlacement.setReading(host, false);
    }
  }

  /** Whether a group's holder needs readers on other hosts. */
  protected needsReaders(
    instances: readonly InstanceRecord[],
    linkBytesPerSecond: number | undefined,
  ): boolean {
    return needsReaders(instances, linkBytesPerSecond);
  }

  /**
   * Whether a reader must be removed: its host is stopping, is out of service or holds this group.
   */
  protected mustBeRemoved(reader: Holder, groupHolder: HostId | undefined): boolean {
    const { leases, state } = this.context;
    const lease = leases.get(reader.lease);
    const isLeaving =
      lease?.isLive === true && (lease.stopping || !state.isInService(lease.domain));
    return isLeaving || reader.host === groupHolder;
  }

  /** Whether a reader may move to a spare host: its present host has come to hold a group. */
  protected mayMove(reader: Holder): boolean {
    return this.context.spareHosts.holdsGroup(reader.host);
  }

  /** Chooses a spare host to read a replica, if there is one. */
  protected choose(near: FailureDomain): HostId | undefined {
    const { spareHosts, settings } = this.context;
    return settings.followsInstances === true
      ? spareHosts.chooseNear(near)
      : spareHosts.choose(near);
  }

  /** Removes the readers that must be removed, and assigns no others. */
  private removeLeavingReaders(group: GroupId, holder: HostId | undefined, nowMs: number): boolean {
    let isWaiting = false;
    for (const reader of this.context.state.getReaders(group)) {
      if (reader.holder !== undefined && this.mustBeRemoved(reader.holder, holder)) {
        isWaiting = this.propose({ group, nowMs }, reader.instance, undefined) || isWaiting;
      }
    }
    return isWaiting;
  }

  /** Whether an instance may have a reader; a primary keeps the one that it had as a replica. */
  private isReadable({ group, instance, domain }: InstanceRecord): boolean {
    const { state } = this.context;
    return state.isInService(domain) && !state.isLeaving(group, instance);
  }

  private decideInstance(view: ReaderView, { instance, domain }: InstanceRecord): boolean {
    const { state, leases } = this.context;
    const { group, nowMs } = view;
    const present = state.getReader(group, instance)?.holder;
    const mustBeRemoved = present !== undefined && this.mustBeRemoved(present, view.holder);
    const isWanted =
      this.isReplica(group, instance) &&
      (present === undefined || mustBeRemoved || this.mayMove(present));
    // While earlier leases may last, a new leader does not know which hosts are spare.
    const isWaitingForLeases = leases.isWaiting(nowMs);
    const host = isWanted && !isWaitingForLeases ? this.choose(domain) : undefined;
    if (host !== undefined) {
      return this.propose(view, instance, host);
    }
    if (isWanted && !isWaitingForLeases) {
      this.groupsLackingReaders.add(group);
    }
    return (
      (mustBeRemoved && this.propose(view, instance, undefined)) || (isWanted && isWaitingForLeases)
    );
  }

  private isReplica(group: GroupId, instance: InstanceId): boolean {
    const primary = this.context.state.getPrimary(group);
    return primary !== undefined && primary.instance !== instance;
  }

  /**
   * Proposes a reader, or its removal if `host` is undefined. Returns true: the outcome is pending.
   */
  private propose(
    { group, nowMs }: Pick<ReaderView, 'group' | 'nowMs'>,
    instance: InstanceId,
    host: HostId | undefined,
  ): boolean {
    const { state, outbox, leases } = this.context;
    const name = getInstanceReaderRecordName(group, instance);
    const lease = host === undefined ? undefined : leases.getByHost(host);
    if (outbox.isPending(name, nowMs) || (host !== undefined && lease === undefined)) {
      return true;
    }
    const holder = lease && { host: lease.host, lease: lease.lease, address: lease.address };
    const expected = state.getRecordRevision(name);
    const kind = CommandKind.AssignReader;
    outbox.propose(name, { kind, group, instance, expected, ...(holder && { holder }) }, nowMs);
    placeReader(this.context, name, holder?.host);
    const values = { group, instance };
    if (holder === undefined) {
      outbox.log(Diagnostics.ReaderRemoved, values);
    } else {
      outbox.log(Diagnostics.ReaderAssigned, { ...values, host: holder.host });
    }
    return true;
  }
}
