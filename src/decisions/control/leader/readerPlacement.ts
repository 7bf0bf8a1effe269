import { Diagnostics } from '../../../common/diagnostics/index.js';
import type { FailureDomain, GroupId, HostId, InstanceId } from '../../../common/ids/index.js';
import { CommandKind } from '../commandKind.js';
import type { Holder } from '../holder.js';
import type { InstanceRecord } from '../instanceRecord.js';
import { getInstanceReaderRecordName } from '../recordNames.js';
import { placeReader, type LeaderContext } from './leaderContext.js';
import { needsReaders } from './needsReaders.js';

/** What the readers of a group's replicas depend on besides the records. */
interface ReaderView {
  readonly group: GroupId;
  readonly holder: HostId;
  readonly nowMs: number;
}

/**
 * Decides on the readers of one group at a time. Answers groups whose reads fill the one link of
 * their holder: a replica's reads go over the link of a host that holds no group.
 */
export class ReaderPlacement {
  /** Groups with a replica that no host was spare for. */
  protected readonly groupsLackingReaders = new Set<GroupId>();

  constructor(protected readonly context: LeaderContext) {}

  /** Looks at a group's readers; true when it has to be looked at again without a change. */
  decide(group: GroupId, nowMs: number): boolean {
    const { state, leases } = this.context;
    this.groupsLackingReaders.delete(group);
    const holder = state.getGroupAssignment(group)?.holder;
    const lease = holder && leases.get(holder.lease);
    if (lease?.isLive !== true) {
      // Until its holder tells the rate of its link, the group keeps what it has.
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

  /** Has groups that lack readers looked at, no more than there are spare hosts. */
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

  /** Forgets what earlier leaderships decided. */
  clear(): void {
    this.groupsLackingReaders.clear();
    for (const host of this.context.spareHosts.clear()) {
      this.context.groupPlacement.setReading(host, false);
    }
  }

  /** Whether a group's holder needs readers beside it. */
  protected needsReaders(
    instances: readonly InstanceRecord[],
    linkBytesPerSecond: number | undefined,
  ): boolean {
    return needsReaders(instances, linkBytesPerSecond);
  }

  /** Whether a reader may not stay: its host stops, is out of service, or holds this group. */
  protected mustLeave(reader: Holder, groupHolder: HostId | undefined): boolean {
    const { leases, state } = this.context;
    const lease = leases.get(reader.lease);
    const isLeaving =
      lease?.isLive === true && (lease.stopping || !state.isInService(lease.domain));
    return isLeaving || reader.host === groupHolder;
  }

  /** Whether a reader moves where a host is spare: the host that reads came to hold a group. */
  protected mayMove(reader: Holder): boolean {
    return this.context.spareHosts.holdsGroup(reader.host);
  }

  /** The host that is to read a replica. */
  protected choose(near: FailureDomain): HostId | undefined {
    return this.context.spareHosts.choose(near);
  }

  /** Takes away the readers that may not stay, and gives no others. */
  private removeLeavingReaders(group: GroupId, holder: HostId | undefined, nowMs: number): boolean {
    let isWaiting = false;
    for (const reader of this.context.state.getReaders(group)) {
      if (reader.holder !== undefined && this.mustLeave(reader.holder, holder)) {
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
    const mustLeave = present !== undefined && this.mustLeave(present, view.holder);
    const isWanted =
      this.isReplica(group, instance) &&
      (present === undefined || mustLeave || this.mayMove(present));
    // A new leader doesn't know yet which hosts are spare.
    const isWaitingForLeases = leases.isWaiting(nowMs);
    const host = isWanted && !isWaitingForLeases ? this.choose(domain) : undefined;
    if (host !== undefined) {
      return this.propose(view, instance, host);
    }
    if (isWanted && !isWaitingForLeases) {
      this.groupsLackingReaders.add(group);
    }
    return (
      (mustLeave && this.propose(view, instance, undefined)) || (isWanted && isWaitingForLeases)
    );
  }

  private isReplica(group: GroupId, instance: InstanceId): boolean {
    const primary = this.context.state.getPrimary(group);
    return primary !== undefined && primary.instance !== instance;
  }

  /** Proposes a reader, or none; true while the outcome is to be waited for. */
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
