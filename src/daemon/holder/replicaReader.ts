import {
  assertInvariant,
  createFault,
  Diagnostics,
  Execution,
  type Fault,
} from '../../common/diagnostics/index.js';
import type { Incarnation, InstanceId, RequestId } from '../../common/ids/index.js';
import type { InstanceReading } from '../../common/metrics/index.js';
import type { GroupPrimary, InstanceRecord } from '../../decisions/control/index.js';
import {
  getReaderMinimumPosition,
  PositionHistory,
  ReaderRefusal,
  RouteKind,
  type PositionFeed,
  type ReaderMinimumPosition,
  type RouteDecision,
} from '../../decisions/routing/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import {
  createRefusedOutcome,
  RequestKind,
  type ExecuteRequest,
  type ResponseReceiver,
  type RunningRequest,
} from '../requests/index.js';
import type { ProbeAnswer } from '../backend/index.js';
import { GroupRequests, type RequestTargets } from './groupRequests.js';
import { HeldInstance, type HeldInstanceListener } from './heldInstance.js';
import { createOutcomeUnknownFault, type HeldRequest } from './heldRequest.js';
import type { HolderContext } from './holderContext.js';

const DEFAULT_TRANSACTION_LIMIT_MS = 30_000;

/** Runs the reads of one replica that is assigned to this daemon, in its slots and connections. */
export class ReplicaReader implements HeldInstanceListener, RequestTargets {
  private readonly instance: HeldInstance;
  private readonly requests: GroupRequests;
  private draining = false;
  /** The read that may start now, with the position that the replica must have reached for it. */
  private granted: { readonly held: HeldRequest; readonly minimum: SessionPosition } | undefined;

  constructor(
    readonly record: InstanceRecord,
    private readonly context: HolderContext,
    private readonly feed: PositionFeed,
    /** Queries the group's holder for its acknowledged position, which a read needs. */
    private readonly queryPosition: () => void,
  ) {
    const { group } = record;
    const limit = context.records.getGroup(group);
    const connectionLimit = Math.min(
      limit?.connectionLimit ?? record.connectionLimit,
      record.connectionLimit,
    );
    this.instance = new HeldInstance(
      { ...record, connectionLimit },
      limit?.transactionLimitMs ?? DEFAULT_TRANSACTION_LIMIT_MS,
      context,
      this,
      new PositionHistory(),
      false,
    );
    const writes = { primaryPosition: undefined, acknowledged: undefined, confirm: failWrite };
    this.requests = new GroupRequests(context, this, writes);
    this.instance.start();
  }

  get id(): InstanceId {
    return this.record.instance;
  }

  /** Whether the reader is draining and all its requests and transactions have ended. */
  get isDrained(): boolean {
    return this.draining && this.requests.isIdle;
  }

  get isBusy(): boolean {
    return this.draining || !this.requests.isIdle;
  }

  /** Whether a transaction is open on this reader. */
  hasTransaction(transaction: string | undefined): boolean {
    return transaction !== undefined && this.requests.transactions.get(transaction) !== undefined;
  }

  /** Number of requests that arrived since the replica was taken. */
  get requestCount(): number {
    return this.requests.receivedCount;
  }

  get connectionCount(): number {
    return this.instance.pool.size;
  }

  /** Returns the metrics reading of the instance. */
  getReading(nowMs: number): InstanceReading {
    return this.instance.getReading(nowMs);
  }

  /** Runs a read, or the next request of a transaction that is open on this reader. */
  execute(request: ExecuteRequest, receiver: ResponseReceiver): RunningRequest | undefined {
    if (request.transaction === undefined && !isRead(request)) {
      const fault = createReaderFault(this.id, ReaderRefusal.Unsupported);
      receiver.finish(createRefusedOutcome(fault));
      return undefined;
    }
    if (request.maximumStalenessMs !== undefined && !this.draining) {
      this.queryPosition();
    }
    return this.requests.execute(request, receiver);
  }

  abortTransaction(id: string): void {
    this.requests.transactions.abort(id);
  }

  abortOwnedTransactions(owner: Incarnation): void {
    this.requests.transactions.abortOwned(owner);
  }

  /** Applies changed control records; open transactions are aborted when their timeline ends. */
  recordsChanged(isOtherTimeline: boolean): void {
    if (isOtherTimeline) {
      this.abortTransactions();
    }
    this.instance.recordsChanged();
    this.requests.retryWaiting();
  }

  /**
   * Refuses new and waiting requests as not run, except those of open transactions; started ones
   * run to their end.
   */
  drain(): void {
    if (!this.draining) {
      this.draining = true;
      this.requests.close(createReaderFault(this.id, ReaderRefusal.Moved));
    }
  }

  /** Releases the replica immediately. */
  stop(): void {
    this.drain();
    this.instance.stop(createReaderFault(this.id, ReaderRefusal.Moved));
    this.requests.failRemaining(createOutcomeUnknownFault('reader.stop', this.id));
  }

  tick(nowMs: number): void {
    this.instance.tick(nowMs);
    this.requests.endWithdrawn(this.instance, nowMs);
    this.requests.tick(nowMs);
  }

  route(held: HeldRequest): RouteDecision {
    const refusal = this.checkRead(held).refusal ?? this.getColdRefusal();
    if (refusal === undefined) {
      return { kind: RouteKind.Instance, instance: this.id, isPrimary: false };
    }
    this.context.metrics.recordReaderRefusal(refusal);
    return { kind: RouteKind.Refuse, fault: createReaderFault(this.id, refusal) };
  }

  getInstance(id: InstanceId): HeldInstance | undefined {
    return id === this.id ? this.instance : undefined;
  }

  getInstances(): Iterable<HeldInstance> {
    return [this.instance];
  }

  isPrimary(): boolean {
    return false;
  }

  hasFreeSlotForRead(): boolean {
    return false;
  }

  mayStart(held: HeldRequest): boolean {
    const check = this.checkRead(held);
    this.granted = check.refusal === undefined ? { held, minimum: check.minimum } : undefined;
    return this.granted !== undefined;
  }

  getMinimum(held: HeldRequest): SessionPosition {
    assertInvariant(
      this.granted?.held === held,
      'the minimum position is that of the read that was allowed to start',
    );
    return this.granted.minimum;
  }

  stateObserved(instance: HeldInstance, state: ProbeAnswer, sentMs: number): void {
    instance.recordState(state, sentMs);
  }

  primaryRoleLost(): void {
    // A replica has no primary role to lose; `GroupRequests` handles the declined request.
  }

  requestEnded(): void {
    // The next tick checks whether the reader is drained.
  }

  slotGranted(instance: HeldInstance, id: RequestId): void {
    this.requests.slotGranted(instance, id);
  }

  slotRefused(_instance: HeldInstance, id: RequestId, fault: Fault): void {
    this.requests.slotRefused(id, fault);
  }

  transactionOverdue(_instance: HeldInstance, id: RequestId): void {
    this.requests.transactions.abort(id);
  }

  probeAnswered(): void {
    this.requests.retryWaiting();
  }

  probeFailed(): void {
    // The reader does not use the position of the monitor's last probe.
  }

  instanceUnreachable({ id, record, pool }: HeldInstance): void {
    const context = { step: 'reader.instance', peer: record.address };
    const values = { reason: `instance ${id} is unreachable` };
    pool.reset(createFault(Diagnostics.BackendUnreachable, values, context));
    this.requests.retryWaiting();
  }

  private checkRead(held: HeldRequest): ReaderMinimumPosition {
    const { records, timer } = this.context;
    const refusal = this.getRefusal(held);
    if (refusal !== undefined) {
      return { refusal };
    }
    const { session, maximumStalenessMs, latest = false } = held.request;
    const requirement = { session, maximumStalenessMs, latest };
    const primary = records.getPrimary(this.record.group);
    const nowMs = timer.now();
    this.feed.setSuspensions(timer.suspensions);
    held.feedAgeMs = this.feed.getAgeMs(nowMs);
    return getReaderMinimumPosition(requirement, primary, this.feed, nowMs);
  }

  private getRefusal({ avoidsReplicas }: HeldRequest): ReaderRefusal | undefined {
    const { records, lease, protocol } = this.context;
    const { group, domain, instance } = this.record;
    if (!lease.isValid() || this.draining) {
      return ReaderRefusal.Moved;
    }
    if (isServedPrimary(records.getPrimary(group), instance)) {
      return ReaderRefusal.Primary;
    }
    if (!records.isInService(domain) || records.isLeaving(group, instance)) {
      return ReaderRefusal.OutOfService;
    }
    if (avoidsReplicas) {
      return ReaderRefusal.Behind;
    }
    if (!protocol.checksMinimum) {
      return ReaderRefusal.Unsupported;
    }
    return this.instance.monitor.health.isReachable ? undefined : ReaderRefusal.Unreachable;
  }

  /** Refuses a read that would wait for a cold instance while the primary is warm. */
  private getColdRefusal(): ReaderRefusal | undefined {
    const { records, timer } = this.context;
    const { group } = this.record;
    if ((this.instance.getColdWaitMs(timer.now()) ?? 0) === 0) {
      return undefined;
    }
    const primary = records.getPrimary(group);
    const record = primary && records.getInstance(group, primary.instance);
    const isWarm = record !== undefined && record.warmupMs === undefined;
    return isWarm ? ReaderRefusal.Cold : undefined;
  }

  private abortTransactions(): void {
    const { transactions } = this.requests;
    for (const transaction of transactions.getByInstance(this.id)) {
      transactions.abort(transaction.id);
    }
  }
}

/** Whether an instance is the primary or, during a promotion, the previous or the next primary. */
export function isServedPrimary(primary: GroupPrimary | undefined, instance: InstanceId): boolean {
  return primary?.instance === instance || primary?.base?.instance === instance;
}

function isRead({ kind, readOnly }: ExecuteRequest): boolean {
  return kind === RequestKind.Read || (kind === RequestKind.Begin && readOnly === true);
}

/** Fails a write with an unknown outcome: a replica commits nothing that could be acknowledged. */
function failWrite(held: HeldRequest): void {
  held.fail(createOutcomeUnknownFault('reader.commit', held.instance?.id), {
    nowMs: held.endedMs ?? held.arrivedMs,
  });
}

function createReaderFault(instance: InstanceId, reason: ReaderRefusal): Fault {
  const context = { step: 'reader.route', peer: instance, execution: Execution.NotRun };
  return createFault(Diagnostics.ReaderRefused, { instance, reason }, context);
}
