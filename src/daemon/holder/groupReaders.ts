import { Diagnostics } from '../../common/diagnostics/index.js';
import type { GroupId, Incarnation, InstanceId, LeaseId, Term } from '../../common/ids/index.js';
import type { InstanceReading } from '../../common/metrics/index.js';
import {
  getServedTimeline,
  type Holder,
  type InstanceRecord,
  type ReaderCount,
} from '../../decisions/control/index.js';
import { PositionFeed } from '../../decisions/routing/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import type { HolderContext } from './holderContext.js';
import { isServedPrimary, ReplicaReader } from './replicaReader.js';

/** Sends a query for a group's acknowledged position to its holder. */
export type PositionQuerySender = (holder: Holder, group: GroupId, sequence: number) => void;

/**
 * Readers of one group's replicas that are assigned to this daemon, with the group's acknowledged
 * positions as far as they are known.
 */
export class GroupReaders {
  private readonly feed = new PositionFeed();
  private readonly readers = new Map<InstanceId, ReplicaReader>();
  /** Released readers whose requests and transactions have not all ended. */
  private readonly leaving = new Set<ReplicaReader>();
  private term: Term | undefined;
  private timeline: Term | undefined;

  constructor(
    private readonly group: GroupId,
    private readonly context: HolderContext,
    private readonly sendPositionQuery: PositionQuerySender,
  ) {}

  /** Number of replicas read here, including those that are being released. */
  get count(): number {
    return this.readers.size + this.leaving.size;
  }

  get connectionCount(): number {
    return [...this.all].reduce((sum, { connectionCount }) => sum + connectionCount, 0);
  }

  /** Returns the number of requests of each replica read here, since it was taken. */
  getRequestCounts(): readonly ReaderCount[] {
    return [...this.readers].map(([id, reader]) => [this.group, id, reader.requestCount] as const);
  }

  get isBusy(): boolean {
    return [...this.all].some(({ isBusy }) => isBusy);
  }

  getReadings(nowMs: number): readonly InstanceReading[] {
    return [...this.readers.values()].map((reader) => reader.getReading(nowMs));
  }

  /**
   * Returns the reader that runs a request: the released one that has its transaction open, else
   * the replica's current one.
   */
  find(instance: InstanceId, transaction: string | undefined): ReplicaReader | undefined {
    const owner = [...this.leaving].find((each) => each.hasTransaction(transaction));
    return owner ?? this.readers.get(instance);
  }

  abortTransaction(id: string): void {
    for (const reader of this.all) {
      reader.abortTransaction(id);
    }
  }

  abortOwnedTransactions(owner: Incarnation): void {
    for (const reader of this.all) {
      reader.abortOwnedTransactions(owner);
    }
  }

  /** Applies changed control records under this daemon's lease. */
  recordsChanged(lease: LeaseId | undefined): void {
    const { records } = this.context;
    const primary = records.getPrimary(this.group);
    const timeline = primary && getServedTimeline(primary);
    const isOtherTimeline = timeline !== this.timeline;
    this.feed.setTimeline(timeline);
    if (primary?.term !== this.term) {
      this.feed.reset();
    }
    this.term = primary?.term;
    this.timeline = timeline;
    for (const record of records.getInstances(this.group)) {
      this.update(record, lease);
    }
    const present = new Set(records.getInstances(this.group).map(({ instance }) => instance));
    for (const id of [...this.readers.keys()].filter((each) => !present.has(each))) {
      this.release(id);
    }
    for (const reader of this.all) {
      reader.recordsChanged(isOtherTimeline);
    }
  }

  /** Records the holder's answer to a position query. */
  positionReceived(sequence: number, acknowledged: SessionPosition): void {
    this.feed.recordAnswer(sequence, acknowledged);
  }

  /** Refuses new reads; running ones finish. */
  drain(): void {
    for (const id of [...this.readers.keys()]) {
      this.release(id);
    }
  }

  /** Releases all replicas immediately. */
  stop(): void {
    this.drain();
    for (const reader of this.leaving) {
      reader.stop();
    }
    this.leaving.clear();
  }

  tick(nowMs: number): void {
    for (const reader of this.all) {
      reader.tick(nowMs);
    }
    for (const reader of [...this.leaving]) {
      if (reader.isDrained) {
        this.leaving.delete(reader);
        reader.stop();
      }
    }
  }

  private get all(): Iterable<ReplicaReader> {
    return [...this.readers.values(), ...this.leaving];
  }

  private update(record: InstanceRecord, lease: LeaseId | undefined): void {
    const { records, logger } = this.context;
    const { group, instance } = record;
    const known = this.readers.get(instance);
    const holder = records.getReader(group, instance)?.holder;
    const isOwn = holder !== undefined && holder.lease === lease;
    if (!isOwn || isServedPrimary(records.getPrimary(group), instance)) {
      this.release(instance);
      return;
    }
    if (known !== undefined && !isSameInstance(known.record, record)) {
      this.release(instance);
    } else if (known !== undefined) {
      return;
    }
    const created = new ReplicaReader(record, this.context, this.feed, () => this.queryPosition());
    this.readers.set(instance, created);
    logger.report(Diagnostics.ReaderStarted, { instance, group }, { step: 'reader.take' });
  }

  private release(instance: InstanceId): void {
    const reader = this.readers.get(instance);
    if (reader === undefined) {
      return;
    }
    this.readers.delete(instance);
    this.leaving.add(reader);
    reader.drain();
    const { group, context } = this;
    context.logger.report(Diagnostics.ReaderEnded, { instance, group }, { step: 'reader.release' });
  }

  private queryPosition(): void {
    const holder = this.context.records.getGroupAssignment(this.group)?.holder;
    const sequence = holder && this.feed.startQuery(this.context.timer.now());
    if (holder !== undefined && sequence !== undefined) {
      this.sendPositionQuery(holder, this.group, sequence);
    }
  }
}

function isSameInstance(left: InstanceRecord, right: InstanceRecord): boolean {
  return (
    left.address === right.address &&
    left.slots === right.slots &&
    left.startedMs === right.startedMs &&
    left.connectionLimit === right.connectionLimit
  );
}
