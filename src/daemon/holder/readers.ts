import type { GroupId, Incarnation, LeaseId } from '../../common/ids/index.js';
import type { InstanceReading } from '../../common/metrics/index.js';
import type { ReaderCount } from '../../decisions/control/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import type { ExecuteRequest } from '../requests/index.js';
import { GroupReaders, type PositionQuerySender } from './groupReaders.js';
import type { HolderContext } from './holderContext.js';
import type { ReplicaReader } from './replicaReader.js';

/** Readers of all replicas that this daemon reads under its lease. */
export class Readers {
  /** Sends position queries to holders; set by `exchangePositions`. */
  sendPositionQuery: PositionQuerySender | undefined;
  private readonly groups = new Map<GroupId, GroupReaders>();
  private draining = false;

  constructor(private readonly context: HolderContext) {}

  /** Number of replicas read here, including those that are being released. */
  get count(): number {
    return this.sum(({ count }) => count);
  }

  /** Number of connections to backend servers. */
  get connectionCount(): number {
    return this.sum(({ connectionCount }) => connectionCount);
  }

  /** Returns the number of requests of each replica read here, since it was taken. */
  getRequestCounts(): readonly ReaderCount[] {
    return [...this.groups.values()].flatMap((group) => group.getRequestCounts());
  }

  get isBusy(): boolean {
    return [...this.groups.values()].some(({ isBusy }) => isBusy);
  }

  getReadings(nowMs: number): readonly InstanceReading[] {
    return [...this.groups.values()].flatMap((group) => group.getReadings(nowMs));
  }

  /** Returns the reader that runs a request for a named replica. */
  find({ group, instance, transaction }: ExecuteRequest): ReplicaReader | undefined {
    return instance === undefined ? undefined : this.groups.get(group)?.find(instance, transaction);
  }

  abortTransaction(group: GroupId, transaction: string): void {
    this.groups.get(group)?.abortTransaction(transaction);
  }

  abortOwnedTransactions(owner: Incarnation): void {
    for (const group of this.groups.values()) {
      group.abortOwnedTransactions(owner);
    }
  }

  /** Applies changed control records under this daemon's lease; without one no replica is read. */
  recordsChanged(lease: LeaseId | undefined): void {
    const { records } = this.context;
    for (const group of records.getGroups()) {
      const isRead = records
        .getInstances(group)
        .some(({ instance }) => records.getReader(group, instance)?.holder?.lease === lease);
      const known = this.groups.get(group);
      if (isRead && known === undefined && lease !== undefined && !this.draining) {
        this.groups.set(
          group,
          new GroupReaders(group, this.context, (...query) => this.sendPositionQuery?.(...query)),
        );
      }
      if (!this.draining) {
        this.groups.get(group)?.recordsChanged(lease);
      }
    }
  }

  /** Records a holder's answer to a position query. */
  positionReceived(group: GroupId, sequence: number, acknowledged: SessionPosition): void {
    this.groups.get(group)?.positionReceived(sequence, acknowledged);
  }

  /** Refuses new reads; running ones finish. */
  drain(): void {
    this.draining = true;
    for (const group of this.groups.values()) {
      group.drain();
    }
  }

  /** Releases all replicas immediately, for example when the lease has ended. */
  stop(): void {
    for (const group of this.groups.values()) {
      group.stop();
    }
    this.groups.clear();
  }

  tick(nowMs: number): void {
    for (const [id, group] of this.groups) {
      group.tick(nowMs);
      if (group.count === 0) {
        this.groups.delete(id);
      }
    }
  }

  private sum(getCount: (group: GroupReaders) => number): number {
    return [...this.groups.values()].reduce((sum, group) => sum + getCount(group), 0);
  }
}
