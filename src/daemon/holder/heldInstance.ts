import { toAccountId, type InstanceId, type RequestId } from '../../common/ids/index.js';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import type { InstanceReading } from '../../common/metrics/index.js';
import type { InstanceRecord } from '../../decisions/control/index.js';
import {
  InstanceQueue,
  QueueOutputKind,
  type QueueItem,
  type QueueOutput,
} from '../../decisions/queue/index.js';
import { AdaptiveConcurrency, type InstanceResult } from '../../decisions/overload/index.js';
import {
  MovingLatency,
  RecentLatency,
  RetryBudget,
  Withdrawal,
  type InstanceLatency,
  type PositionHistory,
  type InstanceView,
} from '../../decisions/routing/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import {
  ConnectionPool,
  type BackendTarget,
  type PoolLimits,
  type ProbeAnswer,
} from '../backend/index.js';
import type { RequestRouting } from './heldRequest.js';
import type { HolderContext } from './holderContext.js';
import { InstanceWarmup } from './instanceWarmup.js';
import { InstanceMonitor, type MonitorListener } from './instanceMonitor.js';

const OPEN_TIMEOUT_MS = 1000;
const MONITOR_CONNECTIONS = 1;
/**
 * Share of an instance's connection limit that one holder uses where connections are many and each
 * serves one client account. Connections of a host that lost power occupy that share for seconds,
 * while the next holder uses the rest.
 */
const HOLDER_CONNECTION_SHARE = 0.8;
const SLOW_START_MS = 3000;
const RETRY_SHARE = 0.2;
/** Account for which the pool opens connections that may serve any client account. */
const NO_ACCOUNT = toAccountId('');
const MAXIMUM_RETRIES = 50;

/**
 * State that an instance reported, with `position` as the last one it received and `sentMs` as the
 * time at which it was queried.
 */
export interface FullInstanceState extends SessionPosition {
  readonly isPrimary?: boolean;
  readonly sentMs: number;
}

/** Receives the events of a held instance. */
export interface HeldInstanceListener {
  /** Called when a queued request obtained a slot. */
  slotGranted(instance: HeldInstance, id: RequestId): void;
  /** Called when the instance's queue refuses a queued request. */
  slotRefused(instance: HeldInstance, id: RequestId, fault: Fault): void;
  /** Called when a transaction was open for longer than the limit. */
  transactionOverdue(instance: HeldInstance, id: RequestId, fault: Fault): void;
  probeAnswered(instance: HeldInstance, answer: ProbeAnswer, sentMs: number): void;
  /**
   * Called when the monitor's connection failed or was not answered; the instance may still answer
   * on a new connection.
   */
  probeFailed(instance: HeldInstance): void;
  instanceUnreachable(instance: HeldInstance): void;
}

/** One instance of a held group, with its slots, its connections and its last known state. */
export class HeldInstance implements MonitorListener {
  readonly queue: InstanceQueue;
  readonly pool: ConnectionPool;
  readonly monitor: InstanceMonitor;
  /** Limits how many requests are retried after a lost connection. */
  readonly retries = new RetryBudget(RETRY_SHARE, MAXIMUM_RETRIES);
  position: SessionPosition | undefined;
  /** Time that statements take on the instance. */
  readonly latency: InstanceLatency;
  /** Adapts the number of requests that run at once; undefined where overload control is off. */
  private readonly concurrency: AdaptiveConcurrency | undefined;
  private lastFullState: FullInstanceState | undefined;
  private positionMs = 0;
  private lastUnresponsiveMs: number | undefined;
  private lastDeadConnectionsMs: number | undefined;
  private isDelegated = false;
  private readonly withdrawal: Withdrawal;
  private readonly warmup: InstanceWarmup;
  private isLeaving = false;
  private wasWithdrawn = false;

  constructor(
    private currentRecord: InstanceRecord,
    transactionLimitMs: number,
    private readonly context: HolderContext,
    private readonly listener: HeldInstanceListener,
    private readonly positionHistory: PositionHistory,
    expectsPrimary: boolean,
  ) {
    const { record } = this;
    this.latency = context.usesRecentLatency === true ? new RecentLatency() : new MovingLatency();
    this.withdrawal = new Withdrawal(context.withdrawal);
    this.warmup = new InstanceWarmup(record, context);
    const gate = this.warmup.pacer;
    this.queue = new InstanceQueue({ slots: record.slots, limits: { transactionLimitMs }, gate });
    if (context.loadReports !== undefined) {
      const isReplaceable = !expectsPrimary;
      this.concurrency = new AdaptiveConcurrency({ slots: record.slots, isReplaceable });
    }
    const { protocol, timer } = context;
    const target: BackendTarget = {
      address: record.address,
      group: record.group,
      instance: record.instance,
    };
    this.pool = new ConnectionPool(target, protocol, this.poolLimits, timer);
    this.pool.onUnresponsive = () => this.handleUnresponsiveConnection();
    this.monitor = new InstanceMonitor(target, protocol, timer, this, expectsPrimary);
    this.recordsChanged();
  }

  /** Control's record of the instance, with the connection limit that applies to this daemon. */
  get record(): InstanceRecord {
    return this.currentRecord;
  }

  get id(): InstanceId {
    return this.record.instance;
  }

  /**
   * Applies changed slots and connection limits of the same incarnation, without affecting running
   * requests and their connections.
   */
  resize(record: InstanceRecord): void {
    this.currentRecord = record;
    this.pool.setLimits(this.poolLimits);
    this.concurrency?.setSlots(record.slots);
    this.applyConcurrency();
  }

  /** Number of requests that may run at once. */
  get concurrentRequests(): number {
    return this.concurrency?.limit ?? this.record.slots;
  }

  /** Sets whether the instance is the primary, whose requests no other instance can run. */
  setPrimary(isPrimary: boolean): void {
    this.monitor.setExpectsPrimary(isPrimary);
    this.concurrency?.setReplaceable(!isPrimary);
  }

  /** Records the result of a request, by which the number of concurrent requests is adapted. */
  recordResult(result: InstanceResult): void {
    this.concurrency?.record(result, this.context.timer.now());
    this.applyConcurrency();
  }

  private get poolLimits(): PoolLimits {
    return {
      maximumConnections: this.maximumConnections,
      warmConnections: Math.min(this.record.slots, this.maximumConnections),
      openTimeoutMs: OPEN_TIMEOUT_MS,
    };
  }

  /**
   * Maximum number of connections for requests. Where each serves one client account, a share is
   * left to the next holder, in case this one fails without closing its connections.
   */
  private get maximumConnections(): number {
    const { connectionLimit } = this.record;
    const share = this.context.protocol.isPerAccount ? HOLDER_CONNECTION_SHARE : 1;
    return Math.max(1, Math.floor(connectionLimit * share) - MONITOR_CONNECTIONS);
  }

  /**
   * Maximum number of connections held by transactions, so that single statements always find one.
   */
  get maximumTransactions(): number {
    return Math.max(1, this.maximumConnections - this.record.slots);
  }

  start(): void {
    this.monitor.start();
    this.pool.warm(NO_ACCOUNT);
  }

  /**
   * Sets whether reads of the instance are delegated to its reader; returns whether this changed.
   */
  setDelegated(isDelegated: boolean): boolean {
    if (isDelegated === this.isDelegated) {
      return false;
    }
    this.isDelegated = isDelegated;
    if (isDelegated) {
      this.pool.closeIdle();
    } else {
      this.pool.warm(NO_ACCOUNT);
    }
    return true;
  }

  stop(fault: Fault): void {
    this.warmup.stop();
    this.monitor.stop();
    this.pool.close(fault);
  }

  /** Applies changed control records. */
  recordsChanged(): void {
    const { group, instance } = this.record;
    this.isLeaving = this.context.records.isLeaving(group, instance);
    this.isWithdrawn(this.context.timer.now());
    this.warmup.recordsChanged();
    this.apply([]);
  }

  /** Whether the instance has been out of service for so long that it may run nothing more. */
  isWithdrawn(nowMs: number): boolean {
    const { group, instance, domain } = this.record;
    const { isLeaving } = this;
    const outOfServiceMs = this.context.records.getOutOfServiceMs(domain);
    const isWithdrawn = this.withdrawal.isOver({ outOfServiceMs, isLeaving }, nowMs);
    if (isWithdrawn && !this.wasWithdrawn) {
      const context = { step: 'holder.withdrawn', peer: this.record.address };
      this.context.logger.report(Diagnostics.InstanceWithdrawn, { instance, group }, context);
    }
    this.wasWithdrawn = isWithdrawn;
    return isWithdrawn;
  }

  /** Returns the view of the instance for routing; `usualMs`: latency while its own is unknown. */
  getView(nowMs: number, usualMs = 0): InstanceView {
    const { instance, domain, group } = this.record;
    const { records } = this.context;
    const { position } = this;
    const coldWaitMs = this.getColdWaitMs(nowMs);
    return {
      instance,
      domain,
      slots: this.concurrentRequests,
      load: this.queue.runningCount + this.queue.waitingCount,
      latencyMs: this.latency.getMs(nowMs) ?? usualMs,
      reachable: this.monitor.health.isReachable,
      inService:
        !this.isDelegated && records.isInService(domain) && !records.isLeaving(group, instance),
      withdrawn: this.isWithdrawn(nowMs),
      position,
      ageMs:
        position === undefined
          ? Number.POSITIVE_INFINITY
          : this.positionHistory.getAgeMs(position.position, nowMs),
      slowStartWeight: this.monitor.health.getSlowStartWeight(nowMs, SLOW_START_MS),
      ...(coldWaitMs === undefined ? {} : { coldWaitMs }),
    };
  }

  /** Returns the metrics reading of the instance. */
  getReading(nowMs: number): InstanceReading {
    const { record, queue, pool, monitor } = this;
    const { ageMs, reachable } = this.getView(nowMs);
    const concurrency = this.concurrency?.limit;
    return {
      ...{ group: record.group, instance: record.instance },
      ...{ running: queue.runningCount, waiting: queue.waitingCount, connections: pool.size },
      ...(concurrency === undefined ? {} : { concurrency }),
      reachable,
      lagMs: Number.isFinite(ageMs) && monitor.health.isReachable ? ageMs : undefined,
      isCold: this.getColdWaitMs(nowMs) !== undefined,
    };
  }

  enqueue(item: QueueItem): void {
    this.retries.recordAttempt();
    this.apply(this.queue.enqueue(item, this.context.timer.now()));
  }

  /**
   * Time in milliseconds until a request that arrives now may start on the cold instance, as far as
   * its pace decides; undefined while the instance is warm.
   */
  getColdWaitMs(nowMs: number): number | undefined {
    return this.warmup.getColdWaitMs(this.queue.waitingCount, nowMs);
  }

  /** Number of free slots; 0 while a request waits for one or the pace leaves no start now. */
  get freeSlots(): number {
    const { runningCount, waitingCount } = this.queue;
    const isPaced = (this.getColdWaitMs(this.context.timer.now()) ?? 0) > 0;
    return waitingCount > 0 || isPaced ? 0 : Math.max(0, this.concurrentRequests - runningCount);
  }

  /** Records that a request, or the next statement of a transaction, is sent to the instance. */
  recordSent(id: RequestId): void {
    this.warmup.recordSent(id);
  }

  /** Frees the slot of a finished request. */
  complete(id: RequestId): void {
    this.warmup.pacer.recordUnsent(id);
    this.apply(this.queue.complete(id, this.context.timer.now()));
  }

  /** Removes a request that did not run and frees its slot. */
  cancel(id: RequestId): void {
    this.warmup.pacer.recordUnsent(id);
    this.apply(this.queue.cancel(id, this.context.timer.now()));
  }

  /** Frees the slot of a transaction until its next statement. */
  pause(id: RequestId): void {
    this.apply(this.queue.pause(id, this.context.timer.now()));
  }

  /** Queues the next statement of a transaction. */
  resume(id: RequestId, deadlineMs: number): void {
    this.apply(this.queue.resume(id, deadlineMs, this.context.timer.now()));
  }

  tick(nowMs: number): void {
    this.warmup.tick(nowMs);
    this.concurrency?.tick(nowMs);
    this.applyConcurrency();
    this.apply(this.queue.tick(nowMs));
  }

  probeAnswered(answer: ProbeAnswer, sentMs: number): void {
    this.warmup.handleReachable();
    this.recordState(answer, sentMs);
    this.listener.probeAnswered(this, answer, sentMs);
  }

  /** Returns the state of the instance at the time a request is routed to it. */
  getRouting(nowMs: number): RequestRouting {
    const { position, queue } = this;
    const load = queue.runningCount + queue.waitingCount;
    return { position, ageMs: nowMs - this.positionMs, load };
  }

  /** Records the state that the instance had at some time after it was queried at `sentMs`. */
  recordState(answer: ProbeAnswer, sentMs: number): void {
    const { term, position, received, isPrimary } = answer;
    this.position = { term, position };
    this.positionMs = sentMs;
    if (received !== undefined) {
      const state = { term, position: received, sentMs };
      this.lastFullState = isPrimary === undefined ? state : { ...state, isPrimary };
    }
  }

  /** Last reported state with a received position; undefined when unknown. */
  get fullState(): FullInstanceState | undefined {
    return this.lastFullState;
  }

  /** When a connection was last found unresponsive; others opened before may be as well. */
  get unresponsiveMs(): number | undefined {
    return this.lastUnresponsiveMs;
  }

  probeFailed(): void {
    this.handleUnresponsiveConnection();
    this.position = undefined;
    this.lastFullState = undefined;
    this.listener.probeFailed(this);
  }

  /** When a new connection last showed that older ones without an answer are dead, not slow. */
  get deadConnectionsMs(): number | undefined {
    return this.lastDeadConnectionsMs;
  }

  connectionsSuspected(): void {
    this.lastDeadConnectionsMs = this.context.timer.now();
  }

  instanceUnreachable(): void {
    this.warmup.handleUnreachable();
    const { group, instance } = this.record;
    this.context.logger.report(
      Diagnostics.InstanceUnreachable,
      { instance, group },
      { step: 'monitor', peer: this.record.address },
    );
    this.listener.instanceUnreachable(this);
  }

  private handleUnresponsiveConnection(): void {
    this.lastUnresponsiveMs = this.context.timer.now();
    this.pool.closeIdle();
    this.monitor.check();
  }

  private applyConcurrency(): void {
    const { concurrentRequests: limit, queue } = this;
    if (limit !== queue.slotCount) {
      this.apply(queue.setSlots(limit, this.context.timer.now()));
    }
  }

  private apply(outputs: readonly QueueOutput[]): void {
    for (const output of outputs) {
      switch (output.kind) {
        case QueueOutputKind.Start:
          this.listener.slotGranted(this, output.requestId);
          break;
        case QueueOutputKind.Refuse: {
          const { diagnostic, values, retryAfterMs } = output;
          const fault = createFault(diagnostic, values, { ...this.getContext(), retryAfterMs });
          this.listener.slotRefused(this, output.requestId, fault);
          break;
        }
        case QueueOutputKind.AbortTransaction: {
          const fault = createFault(output.diagnostic, output.values, this.getContext());
          this.listener.transactionOverdue(this, output.requestId, fault);
          break;
        }
      }
    }
    this.warmup.schedule(this.queue, (nowMs) => this.tick(nowMs));
  }

  private getContext(): { readonly step: string; readonly peer: string } {
    return { step: 'holder.queue', peer: this.id };
  }
}
