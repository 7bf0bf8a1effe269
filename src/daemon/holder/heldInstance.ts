import type { InstanceId, RequestId } from '../../common/ids/index.js';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
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
import { ConnectionPool, type BackendAccess, type ProbeAnswer } from '../backend/index.js';
import type { HolderContext } from './holderContext.js';
import { InstanceMonitor, type MonitorListener } from './instanceMonitor.js';

const OPEN_TIMEOUT_MS = 1000;
const MONITOR_CONNECTIONS = 1;
const SLOW_START_MS = 3000;
const LATENCY_WEIGHT = 0.1;
const RETRY_SHARE = 0.2;
const MAXIMUM_RETRIES = 50;

/** What a held instance tells its group. */
export interface HeldInstanceListener {
  /** A queued request has a slot. */
  slotGranted(instance: HeldInstance, id: RequestId): void;
  /** A queued request will not be run here. */
  slotRefused(instance: HeldInstance, id: RequestId, fault: Fault): void;
  /** A transaction was open for too long. */
  transactionOverdue(instance: HeldInstance, id: RequestId, fault: Fault): void;
  probeAnswered(instance: HeldInstance, answer: ProbeAnswer): void;
  /** The monitor's connection gave no answer; new ones may. */
  connectionCondemned(instance: HeldInstance): void;
  instanceLost(instance: HeldInstance): void;
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
  private positionSentMs = 0;
  private lastSilenceMs: number | undefined;
  private lastDeadMs: number | undefined;

  constructor(
    readonly record: InstanceRecord,
    access: BackendAccess,
    transactionLimitMs: number,
    private readonly context: HolderContext,
    private readonly listener: HeldInstanceListener,
    private readonly clock: PositionClock,
    expectsPrimary: boolean,
  ) {
    this.queue = new InstanceQueue({ slots: record.slots, limits: { transactionLimitMs } });
    const limits = {
      maximumConnections: Math.max(1, record.connectionLimit - MONITOR_CONNECTIONS),
      warmConnections: Math.min(record.slots, record.connectionLimit - MONITOR_CONNECTIONS),
      openTimeoutMs: OPEN_TIMEOUT_MS,
    };
    this.pool = new ConnectionPool(record.address, access, limits, context.timer);
    this.pool.onCondemned = () => this.noteSilence();
    this.monitor = new InstanceMonitor(record.address, access, context.timer, this, expectsPrimary);
  }

  get id(): InstanceId {
    return this.record.instance;
  }

  /** Connections that transactions may hold, so that a statement always finds one. */
  get maximumTransactions(): number {
    const { connectionLimit, slots } = this.record;
    return Math.max(1, connectionLimit - MONITOR_CONNECTIONS - slots);
  }

  start(): void {
    this.monitor.start();
    this.pool.warm();
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
      inService: records.isInService(domain) && !records.isLeaving(group, instance),
      position,
      ageMs:
        position === undefined
          ? Number.POSITIVE_INFINITY
          : this.clock.getAgeMs(position.position, nowMs),
      warmth: this.monitor.health.getWarmth(nowMs, SLOW_START_MS),
    };
  }

  enqueue(item: QueueItem): void {
    this.retries.recordAttempt();
    this.apply(this.queue.enqueue(item, this.context.timer.now()));
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
    this.positionSentMs = sentMs;
    this.position = { term: answer.term, position: answer.position };
    this.listener.probeAnswered(this, answer);
  }

  /** When the last answered probe was sent. */
  get probedMs(): number {
    return this.positionSentMs;
  }

  /** When a connection last gave no sign of life; others opened before may be silent too. */
  get silenceMs(): number | undefined {
    return this.lastSilenceMs;
  }

  connectionCondemned(): void {
    this.noteSilence();
    this.position = undefined;
    this.listener.connectionCondemned(this);
  }

  /** When a new connection proved that older ones without an answer are dead, not slow. */
  get deadConnectionsMs(): number | undefined {
    return this.lastDeadMs;
  }

  connectionsSuspected(): void {
    this.lastDeadMs = this.context.timer.now();
  }

  instanceLost(): void {
    const { group, instance } = this.record;
    this.context.logger.report(
      Diagnostics.InstanceUnreachable,
      { instance, group },
      { step: 'monitor', peer: this.record.address },
    );
    this.listener.instanceLost(this);
  }

  private noteSilence(): void {
    this.lastSilenceMs = this.context.timer.now();
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
