import type { GroupId, Incarnation, LeaseId } from '../../common/ids/index.js';
import type { InstanceReading } from '../../common/metrics/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import type { ExecuteRequest } from '../requests/index.js';
import { GroupReaders, type PositionQuerySender } from './groupReaders.js';
import type { HolderContext } from './holderContext.js';
import type { ReplicaReader } from './replicaReader.js';

/** All replicas that this daemon reads under its lease. */
export class Readers {
  /** Sends questions to holders; set by whoever exchanges them. */
  sendPositionQuery: PositionQuerySender | undefined;
  private readonly groups = new Map<GroupId, GroupReaders>();
  private draining = false;

  constructor(private readonly context: HolderContext) {}

  /** Replicas that are read here, also those that are being given up. */
  get count(): number {
    return this.sum(({ count }) => count);
  }

  /** Connections to backend servers. */
  get connectionCount(): number {
    return this.sum(({ connectionCount }) => connectionCount);
  }

  get isBusy(): boolean {
    return [...this.groups.values()].some(({ isBusy }) => isBusy);
  }

  getReadings(nowMs: number): readonly InstanceReading[] {
    return [...this.groups.values()].flatMap((group) => group.getReadings(nowMs));
  }

  /** The reader that runs a request which names a replica. */
  find({ group, instance, transaction }: ExecuteRequest): ReplicaReader | undefined {
    return instance === undefined ? undefined : this.groups.get(group)?.find(instance, transaction);
  }

  abortTransaction(group: GroupId, transaction: string): void {
    this.groups.get(group)?.abortTransaction(transaction);
  }

  abortOwned(owner: Incarnation): void {
    for (const group of this.groups.values()) {
      group.abortOwned(owner);
    }
  }

  /** Takes on what control says under a lease of this daemon; without one nothing is read. */
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

  /** Takes an answer of a holder. */
  positionReceived(group: GroupId, sequence: number, acknowledged: SessionPosition): void {
    this.groups.get(group)?.positionReceived(sequence, acknowledged);
  }

  /** Takes no new reads from now on; what runs ends. */
  drain(): void {
    this.draining = true;
    for (const group of this.groups.values()) {
      group.drain();
    }
  }

  /** Gives all up at once, as when the lease ended. */
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
