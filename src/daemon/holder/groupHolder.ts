import type { InstanceReading } from '../../common/metrics/index.js';
import { AdaptiveTick } from '../../common/timer/index.js';
import {
  createFault,
  Diagnostics,
  type Diagnostic,
  type Fault,
} from '../../common/diagnostics/index.js';
import type { GroupId, Incarnation, LeaseId, Revision, Term } from '../../common/ids/index.js';
import type { GroupCount, GroupReport } from '../../decisions/control/index.js';
import {
  createRefusedOutcome,
  type ExecuteRequest,
  type ResponseReceiver,
  type RunningRequest,
} from '../requests/index.js';
import { HeldGroup } from './heldGroup.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import type { HolderContext } from './holderContext.js';
import { Readers } from './readers.js';

const BUSY_TICK_MS = 5;
const IDLE_TICK_MS = 100;

/** All database groups that this daemon holds under its lease. */
export class GroupHolder {
  private readonly groups = new Map<GroupId, HeldGroup>();
  /** Released groups, with the revision of the released assignment. */
  private readonly released = new Map<GroupId, Revision>();
  private lease: LeaseId | undefined;
  private readonly ticks: AdaptiveTick;
  /** Readers of the replicas whose reads are assigned to this daemon. */
  readonly readers: Readers;

  constructor(private readonly context: HolderContext) {
    this.readers = new Readers(context);
    this.ticks = new AdaptiveTick(context.timer, BUSY_TICK_MS, IDLE_TICK_MS, (nowMs) => {
      this.tick(nowMs);
      return this.isBusy;
    });
  }

  /** Number of groups currently held. */
  get count(): number {
    return this.groups.size;
  }

  /** Returns the metrics readings of the instances of held groups and of the replicas read here. */
  getReadings(): readonly InstanceReading[] {
    const nowMs = this.context.timer.now();
    const held = [...this.groups.values()].flatMap((group) => group.getReadings(nowMs));
    return [...held, ...this.readers.getReadings(nowMs)];
  }

  /** Number of connections to backend servers. */
  get connectionCount(): number {
    let count = this.readers.connectionCount;
    for (const group of this.groups.values()) {
      count += group.connectionCount;
    }
    return count;
  }

  /** Returns the term of each held group's primary; 0 for a group without one. */
  getTerms(): readonly (readonly [GroupId, Term])[] {
    return [...this.groups].map(([id, group]) => [id, group.term] as const);
  }

  /** Returns the number of requests of each held group, since it was taken. */
  getRequestCounts(): readonly GroupCount[] {
    return [...this.groups].map(([id, group]) => [id, group.requestCount] as const);
  }

  /** Groups released under the current lease. */
  get releasedGroups(): readonly GroupId[] {
    return [...this.released.keys()];
  }

  /**
   * Runs a request; returns undefined when it was refused, with a fault that states that it did not
   * run.
   */
  execute(request: ExecuteRequest, receiver: ResponseReceiver): RunningRequest | undefined {
    const group =
      request.instance === undefined ? this.groups.get(request.group) : this.readers.find(request);
    if (!this.context.lease.isValid()) {
      this.refuse(request, receiver, Diagnostics.LeaseExpired);
      return undefined;
    }
    if (group === undefined || request.lease !== this.context.lease.id) {
      this.refuse(request, receiver, Diagnostics.HolderMoved);
      return undefined;
    }
    this.ticks.wake();
    return group.execute(request, receiver);
  }

  /** Rolls back a transaction whose caller is gone. */
  abortTransaction(group: GroupId, transaction: string): void {
    this.groups.get(group)?.abortTransaction(transaction);
    this.readers.abortTransaction(group, transaction);
  }

  /** Rolls back the transactions opened for an entry daemon that did not reconnect. */
  abortOwnedTransactions(owner: Incarnation): void {
    this.readers.abortOwnedTransactions(owner);
    for (const group of this.groups.values()) {
      group.abortOwnedTransactions(owner);
    }
  }

  /** Applies changed control records, such as assignments, instances and primaries. */
  recordsChanged(): void {
    this.ticks.wake();
    this.checkLease();
    if (!this.context.lease.isValid()) {
      return;
    }
    for (const group of this.context.records.getGroups()) {
      this.updateGroup(group);
    }
    for (const group of this.groups.values()) {
      group.recordsChanged();
    }
    this.readers.recordsChanged(this.lease);
  }

  /**
   * Returns the furthest position of a group that was acknowledged to callers until now; undefined
   * unless this daemon holds the group under the given lease, since another holder may have
   * acknowledged later writes.
   */
  getAcknowledged(group: GroupId, lease: LeaseId): SessionPosition | undefined {
    const isHolding = this.context.lease.isValid() && lease === this.context.lease.id;
    return isHolding ? this.groups.get(group)?.acknowledged : undefined;
  }

  /** Returns the reports on the held groups for the control leader. */
  getReports(): readonly GroupReport[] {
    return [...this.groups.values()].map((group) => group.getReport());
  }

  /** Drains all groups: each is released once its requests and open transactions have ended. */
  drain(): void {
    for (const group of this.groups.values()) {
      group.drain();
    }
  }

  /** Releases all groups and readers immediately. */
  stop(): void {
    this.readers.stop();
    for (const id of [...this.groups.keys()]) {
      this.remove(id);
    }
  }

  private get isBusy(): boolean {
    return this.readers.isBusy || [...this.groups.values()].some((group) => group.isBusy);
  }

  private updateGroup(id: GroupId): void {
    const assignment = this.context.records.getGroupAssignment(id);
    const isOwn = assignment?.holder !== undefined && assignment.holder.lease === this.lease;
    if (!isOwn) {
      this.released.delete(id);
      this.remove(id);
      return;
    }
    if (this.released.get(id) === assignment.since) {
      return;
    }
    this.released.delete(id);
    if (!this.groups.has(id)) {
      this.groups.set(id, new HeldGroup(id, this.context));
      this.context.logger.report(Diagnostics.GroupTaken, { group: id }, { step: 'holder.take' });
    }
    if (assignment.draining) {
      this.groups.get(id)?.drain();
    }
  }

  private tick(nowMs: number): void {
    this.checkLease();
    this.readers.tick(nowMs);
    for (const [id, group] of this.groups) {
      group.tick(nowMs);
      if (group.isDrained) {
        this.release(id);
      }
    }
  }

  private release(id: GroupId): void {
    this.remove(id);
    const { since } = this.context.records.getGroupAssignment(id) ?? {};
    if (since !== undefined) {
      this.released.set(id, since);
    }
    this.context.reportNow();
  }

  /** Releases everything that was held under a lease that is no longer in force. */
  private checkLease(): void {
    const { lease } = this.context;
    const currentLease = lease.isValid() ? lease.id : undefined;
    if (currentLease === this.lease) {
      return;
    }
    this.readers.stop();
    for (const id of [...this.groups.keys()]) {
      this.remove(id);
    }
    this.released.clear();
    this.lease = currentLease;
  }

  private remove(id: GroupId): void {
    const group = this.groups.get(id);
    if (group === undefined) {
      return;
    }
    this.groups.delete(id);
    group.stop();
    this.context.logger.report(
      Diagnostics.GroupReleased,
      { group: id },
      { step: 'holder.release' },
    );
  }

  private refuse(
    request: ExecuteRequest,
    receiver: ResponseReceiver,
    diagnostic: Diagnostic,
  ): void {
    const values = { group: request.group };
    receiver.finish(createRefusedOutcome(createNotRunFault(diagnostic, values)));
  }
}

function createNotRunFault(diagnostic: Diagnostic, values: { readonly group: GroupId }): Fault {
  return createFault(diagnostic, values, { step: 'holder.execute' });
}
