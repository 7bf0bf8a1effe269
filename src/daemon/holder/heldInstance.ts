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
import {
  RetryBudget,
  type PositionClock,
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
import { InstanceMonitor, type MonitorListener } from './instanceMonitor.js';

const OPEN_TIMEOUT_MS = 1000;
const MONITOR_CONNECTIONS = 1;
/**
 * Part of an instance's connections that one holder opens, where they are many and each serves one
 * account. Those of a host that lost power block the rest for seconds.
 */
const HOLDER_CONNECTION_SHARE = 0.8;
const SLOW_START_MS = 3000;
const LATENCY_WEIGHT = 0.1;
const RETRY_SHARE = 0.2;
/** Where connections are opened for any account. */
const NO_ACCOUNT = toAccountId('');
const MAXIMUM_RETRIES = 50;

/** What an instance said of itself, and when it was asked. */
export interface FullInstanceState extends SessionPosition {
  readonly isPrimary?: boolean;
  readonly sentMs: number;
}

/** What a held instance tells its group. */
export interface HeldInstanceListener {
  /** A queued request has a slot. */
  slotGranted(instance: HeldInstance, id: RequestId): void;
  /** A queued request will not be run here. */
  slotRefused(instance: HeldInstance, id: RequestId, fault: Fault): void;
  /** A transaction was open for too long. */
  transactionOverdue(instance: HeldInstance, id: RequestId, fault: Fault): void;
  probeAnswered(instance: HeldInstance, answer: ProbeAnswer, sentMs: number): void;
  /** The monitor's connection gave no answer; new ones may. */
  probeFailed(instance: HeldInstance): void;
  instanceUnreachable(instance: HeldInstance): void;
}

/** One instance of a held group: its slots, connections, and what is known of it. */
export class HeldInstance implements MonitorListener {
  readonly queue: InstanceQueue;
  readonly pool: ConnectionPool;
  readonly monitor: InstanceMonitor;
  /** Bounds how many requests are run again after a lost connection. */
  readonly retries = new RetryBudget(RETRY_SHARE, MAXIMUM_RETRIES);
  position: SessionPosition | undefined;
  private latencyMs = 1;
  private lastFullState: FullInstanceState | undefined;
  private positionMs = 0;
  private lastUnresponsiveMs: number | undefined;
  private lastDeadConnectionsMs: number | undefined;
  private isDelegated = false;

  constructor(
    private currentRecord: InstanceRecord,
    transactionLimitMs: number,
    private readonly context: HolderContext,
    private readonly listener: HeldInstanceListener,
    private readonly clock: PositionClock,
    expectsPrimary: boolean,
  ) {
    const { record } = this;
    this.queue = new InstanceQueue({ slots: record.slots, limits: { transactionLimitMs } });
    const { protocol, timer } = context;
    const target: BackendTarget = {
      address: record.address,
      group: record.group,
      instance: record.instance,
    };
    this.pool = new ConnectionPool(target, protocol, this.poolLimits, timer);
    this.pool.onCondemned = () => this.handleUnresponsiveConnection();
    this.monitor = new InstanceMonitor(target, protocol, timer, this, expectsPrimary);
  }

  /** What control says of it. */
  get record(): InstanceRecord {
    return this.currentRecord;
  }

  get id(): InstanceId {
    return this.record.instance;
  }

  /** Takes on other limits of the same life; what runs and its connections are not touched. */
  resize(record: InstanceRecord): void {
    this.currentRecord = record;
    this.pool.setLimits(this.poolLimits);
    this.apply(this.queue.setSlots(record.slots, this.context.timer.now()));
  }

  private get poolLimits(): PoolLimits {
    return {
      maximumConnections: this.maximumConnections,
      warmConnections: Math.min(this.record.slots, this.maximumConnections),
      openTimeoutMs: OPEN_TIMEOUT_MS,
    };
  }

  /** Connections for requests: a part is left to the next holder, should this one be lost in the dark. */
  private get maximumConnections(): number {
    const { connectionLimit } = this.record;
    const share = this.context.protocol.isPerAccount ? HOLDER_CONNECTION_SHARE : 1;
    return Math.max(1, Math.floor(connectionLimit * share) - MONITOR_CONNECTIONS);
  }

  /** Connections that transactions may hold, so that a statement always finds one. */
  get maximumTransactions(): number {
    return Math.max(1, this.maximumConnections - this.record.slots);
  }

  start(): void {
    this.monitor.start();
    this.pool.warm(NO_ACCOUNT);
  }

  /** Leaves reads of the instance to its reader, or takes them back; true when that is a change. */
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
    this.monitor.stop();
    this.pool.close(fault);
  }

  /** What routing is to know of the instance. */
  getView(nowMs: number): InstanceView {
    const { instance, domain, slots, group } = this.record;
    const { records } = this.context;
    const { position } = this;
    return {
      instance,
      domain,
      slots,
      load: this.queue.runningCount + this.queue.waitingCount,
      latencyMs: this.latencyMs,
      reachable: this.monitor.health.isReachable,
      inService:
        !this.isDelegated && records.isInService(domain) && !records.isLeaving(group, instance),
      position,
      ageMs:
        position === undefined
          ? Number.POSITIVE_INFINITY
          : this.clock.getAgeMs(position.position, nowMs),
      warmth: this.monitor.health.getWarmth(nowMs, SLOW_START_MS),
    };
  }

  /** What operators are to know of the instance. */
  getReading(nowMs: number): InstanceReading {
    const { record, queue, pool, monitor } = this;
    const { ageMs, reachable } = this.getView(nowMs);
    return {
      ...{ group: record.group, instance: record.instance },
      ...{ running: queue.runningCount, waiting: queue.waitingCount, connections: pool.size },
      reachable,
      lagMs: Number.isFinite(ageMs) && monitor.health.isReachable ? ageMs : undefined,
    };
  }

  enqueue(item: QueueItem): void {
    this.retries.recordAttempt();
    this.apply(this.queue.enqueue(item, this.context.timer.now()));
  }

  /** Slots that are free while nothing waits for one. */
  get freeSlots(): number {
    const { runningCount, waitingCount } = this.queue;
    return waitingCount > 0 ? 0 : Math.max(0, this.record.slots - runningCount);
  }

  /** Frees the slot of a finished request. */
  complete(id: RequestId): void {
    this.apply(this.queue.complete(id, this.context.timer.now()));
  }

  /** Frees the slot of a request that was not run after all. */
  cancel(id: RequestId): void {
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
    this.apply(this.queue.tick(nowMs));
  }

  /** Counts a measured service time. */
  recordLatency(serviceMs: number): void {
    this.latencyMs += (serviceMs - this.latencyMs) * LATENCY_WEIGHT;
  }

  probeAnswered(answer: ProbeAnswer, sentMs: number): void {
    this.recordState(answer, sentMs);
    this.listener.probeAnswered(this, answer, sentMs);
  }

  /** What is known of it for a request that is routed here now. */
  getRouting(nowMs: number): RequestRouting {
    const { position, queue } = this;
    const load = queue.runningCount + queue.waitingCount;
    return { position, ageMs: nowMs - this.positionMs, load };
  }

  /** Takes in where the instance stood at some time after it was asked. */
  recordState(answer: ProbeAnswer, sentMs: number): void {
    const { term, position, received, isPrimary } = answer;
    this.position = { term, position };
    this.positionMs = sentMs;
    if (received !== undefined) {
      const state = { term, position: received, sentMs };
      this.lastFullState = isPrimary === undefined ? state : { ...state, isPrimary };
    }
  }

  /** What the instance last said of all that it received. */
  get fullState(): FullInstanceState | undefined {
    return this.lastFullState;
  }

  /** When a connection last gave no sign of life; others opened before may be silent too. */
  get unresponsiveMs(): number | undefined {
    return this.lastUnresponsiveMs;
  }

  probeFailed(): void {
    this.handleUnresponsiveConnection();
    this.position = undefined;
    this.lastFullState = undefined;
    this.listener.probeFailed(this);
  }

  /** When a new connection proved that older ones without an answer are dead, not slow. */
  get deadConnectionsMs(): number | undefined {
    return this.lastDeadConnectionsMs;
  }

  connectionsSuspected(): void {
    this.lastDeadConnectionsMs = this.context.timer.now();
  }

  instanceUnreachable(): void {
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
  }

  private getContext(): { readonly step: string; readonly peer: string } {
    return { step: 'holder.queue', peer: this.id };
  }
}
