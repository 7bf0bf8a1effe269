import { LocalityStage, type InstanceReading } from '../../common/metrics/index.js';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import {
  toTerm,
  type GroupId,
  type Incarnation,
  type InstanceId,
  type RequestId,
  type Term,
} from '../../common/ids/index.js';
import {
  PrimaryPhase,
  type GroupReport,
  type InstanceRecord,
} from '../../decisions/control/index.js';
import {
  getMinimumPosition,
  getUsualLatencyMs,
  GroupRouter,
  LogCoverage,
  NearReplica,
  PositionHistory,
  type GroupView,
  type ReadRequirement,
  type RouteDecision,
} from '../../decisions/routing/index.js';
import type { ProbeAnswer } from '../backend/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import {
  LocalityMonitor,
  RequestKind,
  type ExecuteRequest,
  type ResponseReceiver,
  type RunningRequest,
} from '../requests/index.js';
import { createReport } from './createReport.js';
import { GroupRequests, type RequestTargets } from './groupRequests.js';
import { GroupWrites, type GroupWritesOwner } from './groupWrites.js';
import { HeldInstance, type HeldInstanceListener } from './heldInstance.js';
import { createOutcomeUnknownFault, type HeldRequest } from './heldRequest.js';
import { PlannedMove } from './plannedMove.js';
import type { HolderContext } from './holderContext.js';

const REMOTE_DOMAIN_PENALTY_MS = 2;
const DEFAULT_TRANSACTION_LIMIT_MS = 30_000;

/** A database group that this daemon holds, with its instances, its primary and its requests. */
export class HeldGroup implements HeldInstanceListener, GroupWritesOwner, RequestTargets {
  private readonly instances = new Map<InstanceId, HeldInstance>();
  private readonly writes: GroupWrites;
  private readonly requests: GroupRequests;
  private readonly router: GroupRouter;
  private readonly locality: LocalityMonitor | undefined;
  private readonly positionHistory = new PositionHistory();
  private readonly coverage = new LogCoverage();
  private draining = false;
  private readonly move: PlannedMove;

  constructor(
    readonly group: GroupId,
    private readonly context: HolderContext,
  ) {
    this.writes = new GroupWrites(group, context, this);
    this.requests = new GroupRequests(context, this, this.writes);
    this.move = new PlannedMove(context.timer, this.requests, this.writes, (id) =>
      this.instances.get(id),
    );
    const { locality } = context;
    this.locality = locality && new LocalityMonitor(locality, LocalityStage.Holder, group);
    const policy = new NearReplica(REMOTE_DOMAIN_PENALTY_MS, this.locality?.share);
    this.router = new GroupRouter(policy, context.domain, context.random);
    this.recordsChanged();
  }

  /** Whether the group is draining and all its requests and transactions have ended. */
  get isDrained(): boolean {
    return this.draining && this.requests.isIdle;
  }

  /** Whether the group needs frequent ticks: it is draining, has requests or needs full probes. */
  get isBusy(): boolean {
    return this.draining || !this.requests.isIdle || this.needsFullProbes;
  }

  /** Returns the metrics readings of the group's instances. */
  getReadings(nowMs: number): readonly InstanceReading[] {
    return [...this.instances.values()].map((instance) => instance.getReading(nowMs));
  }

  /** Number of requests that arrived since the group was taken. */
  get requestCount(): number {
    return this.requests.receivedCount;
  }

  /** Number of connections to the group's instances. */
  get connectionCount(): number {
    let count = 0;
    for (const { pool } of this.instances.values()) {
      count += pool.size;
    }
    return count;
  }

  /** The furthest position acknowledged to callers; absent until it is known. */
  get acknowledged(): SessionPosition | undefined {
    return this.writes.acknowledged;
  }

  /** The primary's term; 0 while there is none. */
  get term(): Term {
    return this.writes.primary?.term ?? toTerm(0);
  }

  /** Runs a request; the answer goes to the receiver. */
  execute(request: ExecuteRequest, receiver: ResponseReceiver): RunningRequest {
    return this.requests.execute(request, receiver);
  }

  /** Applies the control records of the group, its instances and its primary. */
  recordsChanged(): void {
    const { records } = this.context;
    const primary = records.getPrimary(this.group);
    const previousTerm = this.writes.primary?.term;
    const previousTimeline = this.writes.timeline;
    if (primary !== undefined) {
      this.writes.setPrimary(primary);
    }
    for (const record of records.getInstances(this.group)) {
      this.updateInstance(record);
      if (records.isLeaving(this.group, record.instance)) {
        this.writes.forgetReplica(record.instance);
      }
    }
    this.removeMissingInstances();
    for (const instance of this.instances.values()) {
      instance.recordsChanged();
    }
    this.writes.updateRequirement();
    this.verifyLogs();
    this.delegateReads();
    if (primary?.term !== previousTerm || this.writes.timeline !== previousTimeline) {
      this.primaryChanged(previousTimeline);
    }
    this.updateProbing();
    this.requests.retryWaiting();
    this.move.check(this.writes.primary);
  }

  /**
   * Refuses new transactions, and all requests once no transaction is open. Until then single
   * statements are still served, since no other daemon serves the group meanwhile.
   */
  drain(): void {
    this.draining = true;
    this.requests.closeAfterTransactions(this.createMovedFault());
  }

  /** Releases the group immediately and closes every connection. */
  stop(): void {
    this.draining = true;
    this.requests.close(this.createMovedFault());
    this.writes.stop();
    for (const instance of this.instances.values()) {
      instance.stop(this.createMovedFault());
    }
    this.requests.failRemaining(createOutcomeUnknownFault('holder.stop', undefined));
  }

  /** Rolls back a caller's transaction, for example when the caller is gone. */
  abortTransaction(id: string): void {
    this.requests.transactions.abort(id);
  }

  /** Rolls back the transactions opened for an entry daemon that did not reconnect. */
  abortOwnedTransactions(owner: Incarnation): void {
    this.requests.transactions.abortOwned(owner);
  }

  tick(nowMs: number): void {
    for (const instance of this.instances.values()) {
      instance.tick(nowMs);
      this.requests.endWithdrawn(instance, nowMs);
    }
    this.writes.tick(nowMs);
    this.updateProbing();
    this.requests.tick(nowMs);
    this.move.check(this.writes.primary);
  }

  /** Returns the report on the group for the control leader. */
  getReport(): GroupReport {
    const report = createReport(this.group, this.writes, this.instances.values());
    const isNeeded = this.context.records.getUncoveredLogs(this.group).length > 0;
    return isNeeded ? { ...report, coveredRevision: this.coverage.revision } : report;
  }

  getReplicaCount(): number {
    const primary = this.writes.primary?.instance;
    return [...this.instances.values()].filter(
      ({ id }) => id !== primary && !this.context.records.isLeaving(this.group, id),
    ).length;
  }

  setUrgent(urgent: boolean): void {
    for (const instance of this.instances.values()) {
      instance.monitor.setUrgent(urgent && instance.id !== this.writes.primary?.instance);
    }
  }

  route({ request, avoidsReplicas, busyInstance }: HeldRequest): RouteDecision {
    return isRead(request)
      ? this.router.routeRead(this.getView(busyInstance), getRequirement(request, avoidsReplicas))
      : this.router.routeWrite(this.getView(), request.session);
  }

  getInstance(id: InstanceId): HeldInstance | undefined {
    return this.instances.get(id);
  }

  getInstances(): Iterable<HeldInstance> {
    return this.instances.values();
  }

  isPrimary({ id }: HeldInstance): boolean {
    return id === this.writes.primary?.instance;
  }

  hasFreeSlotForRead(instance: HeldInstance): boolean {
    const reservedSlots = this.isPrimary(instance) ? 1 : 0;
    return instance.freeSlots > reservedSlots && instance.monitor.health.isReachable;
  }

  mayStart(held: HeldRequest, instance: HeldInstance): boolean {
    const { lease, timer } = this.context;
    if (!lease.isValid() || instance.isWithdrawn(timer.now())) {
      return false;
    }
    const { primary, isFenced } = this.writes;
    const isServing = primary?.phase === PrimaryPhase.Serving && !isFenced;
    return held.onReplica || (isServing && primary.instance === instance.id);
  }

  getMinimum({ request, avoidsReplicas }: HeldRequest): SessionPosition | undefined {
    const { primary, acknowledged } = this.writes;
    if (primary === undefined || !this.context.protocol.checksMinimum || isBlindWrite(request)) {
      return undefined;
    }
    const writes = { primary, acknowledged, positions: this.positionHistory };
    const nowMs = this.context.timer.now();
    return getMinimumPosition(getRequirement(request, avoidsReplicas), writes, nowMs);
  }

  stateObserved(instance: HeldInstance, state: ProbeAnswer, sentMs: number): void {
    instance.recordState(state, sentMs);
    this.recordState(instance, state, sentMs);
  }

  primaryRoleLost(instance: HeldInstance): void {
    const { primary } = this.writes;
    // An instance that is being promoted is not the primary yet.
    if (instance.id === primary?.instance && primary.phase !== PrimaryPhase.Promoting) {
      this.writes.fence('the instance reports that it is no longer primary');
    }
  }

  requestEnded(held: HeldRequest): void {
    this.recordLocality(held);
    this.move.check(this.writes.primary);
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

  probeAnswered(instance: HeldInstance, answer: ProbeAnswer, sentMs: number): void {
    this.recordState(instance, answer, sentMs);
    this.recordCoverage(instance, answer, sentMs);
    if (answer.received !== undefined && this.needsFullProbes) {
      this.context.reportNow();
    }
    this.requests.retryWaiting();
  }

  /** Records a read that a replica ran or refused, which tells about the capacity near and far. */
  private recordLocality(held: HeldRequest): void {
    const { instance, onReplica, request } = held;
    if (this.locality === undefined || instance === undefined || !onReplica) {
      return;
    }
    const nowMs = this.context.timer.now();
    const { fault, startedMs = nowMs, arrivedMs, answerLength } = held;
    const outcome = {
      isOwnDomain: instance.record.domain === this.context.domain,
      code: fault?.code,
      waitMs: startedMs - arrivedMs,
      byteLength: request.payload.length + answerLength,
    };
    this.locality.record(outcome, nowMs);
  }

  private recordState(instance: HeldInstance, answer: ProbeAnswer, sentMs: number): void {
    const { primary, timeline } = this.writes;
    const position = { term: answer.term, position: answer.position };
    if (instance.id !== primary?.instance) {
      // A leaving replica confirms no writes, since control does not choose it as a primary.
      const isLeaving = this.context.records.isLeaving(this.group, instance.id);
      if (!isLeaving || this.writes.isRequired(instance.id)) {
        this.writes.recordReplicaPosition(instance.id, position, isLeaving);
      }
    } else if (answer.isPrimary === false) {
      this.primaryRoleLost(instance);
    } else if (answer.term === timeline && primary.phase !== PrimaryPhase.Promoting) {
      this.positionHistory.record(answer.position, sentMs);
      this.writes.recordPrimaryPosition(position);
    }
  }

  private recordCoverage(instance: HeldInstance, answer: ProbeAnswer, sentMs: number): void {
    const { primary, timeline } = this.writes;
    if (answer.term !== timeline || primary?.phase === PrimaryPhase.Promoting) {
      return;
    }
    if (instance.id !== primary?.instance) {
      if (!this.context.records.isLeaving(this.group, instance.id)) {
        this.coverage.recordReplica(answer.position, sentMs);
      }
    } else if (answer.isPrimary !== false) {
      this.coverage.recordPrimary(answer.position, sentMs);
    }
  }

  probeFailed(instance: HeldInstance): void {
    this.writes.forgetReplica(instance.id);
  }

  instanceUnreachable(instance: HeldInstance): void {
    if (instance.id === this.writes.primary?.instance) {
      this.writes.fence('unreachable');
    }
    const { id, record } = instance;
    const context = { step: 'holder.instance', peer: record.address };
    const values = { reason: `instance ${id} is unreachable` };
    instance.pool.reset(createFault(Diagnostics.BackendUnreachable, values, context));
  }

  private updateInstance(record: InstanceRecord): void {
    const known = this.instances.get(record.instance);
    const limit = this.context.records.getGroup(this.group)?.connectionLimit;
    const connectionLimit = Math.min(limit ?? record.connectionLimit, record.connectionLimit);
    const isSameIncarnation =
      known?.record.address === record.address && known.record.startedMs === record.startedMs;
    const limitMs =
      this.context.records.getGroup(this.group)?.transactionLimitMs ?? DEFAULT_TRANSACTION_LIMIT_MS;
    if (isSameIncarnation) {
      known.queue.setTransactionLimit(limitMs);
      const { slots } = known.record;
      if (slots !== record.slots || known.record.connectionLimit !== connectionLimit) {
        known.resize({ ...record, connectionLimit });
      }
      return;
    }
    const created = new HeldInstance(
      { ...record, connectionLimit },
      limitMs,
      this.context,
      this,
      this.positionHistory,
      this.writes.primary?.instance === record.instance,
    );
    this.instances.set(record.instance, created);
    created.start();
    if (known !== undefined) {
      // Requests are routed again only now that routing finds the new incarnation.
      this.requests.requeue(known);
      known.stop(this.createMovedFault());
    }
  }

  /** Verifies that no acknowledged write was only on an instance that left or restarted. */
  private verifyLogs(): void {
    const { records, timer } = this.context;
    for (const { revision } of records.getUncoveredLogs(this.group)) {
      this.coverage.verify(revision, records.revision, timer.now());
    }
  }

  /** Stops routing reads to replicas that have a reader, and resumes it for those without one. */
  private delegateReads(): void {
    const { records } = this.context;
    for (const instance of this.instances.values()) {
      const hasReader = records.getReader(this.group, instance.id)?.holder !== undefined;
      const isDelegated = hasReader && instance.id !== this.writes.primary?.instance;
      if (instance.setDelegated(isDelegated)) {
        this.requests.requeue(instance);
      }
    }
  }

  private get needsFullProbes(): boolean {
    const { primary, isFenced } = this.writes;
    return isFenced || primary?.phase !== PrimaryPhase.Serving;
  }

  /**
   * Requests full probes while no primary serves or it is fenced, since control then needs the
   * received positions of all instances.
   */
  private updateProbing(): void {
    for (const { monitor } of this.instances.values()) {
      monitor.setFullProbes(this.needsFullProbes);
    }
  }

  /** Stops using instances that control has removed from its records. */
  private removeMissingInstances(): void {
    const present = new Set(
      this.context.records.getInstances(this.group).map((each) => each.instance),
    );
    for (const [id, instance] of [...this.instances]) {
      if (!present.has(id)) {
        this.instances.delete(id);
        this.writes.forgetReplica(id);
        this.requests.requeue(instance);
        instance.stop(this.createMovedFault());
      }
    }
  }

  /**
   * Handles a change of the primary or timeline: routes queued requests again, and discards the
   * positions and aborts the transactions of the earlier timeline or of the instance that served
   * before.
   */
  private primaryChanged(previousTimeline: Term | undefined): void {
    const isOtherTimeline = this.writes.timeline !== previousTimeline;
    if (isOtherTimeline) {
      this.coverage.reset();
      this.verifyLogs();
      this.positionHistory.reset();
    }
    for (const instance of this.instances.values()) {
      const isPrimary = instance.id === this.writes.primary?.instance;
      if (isOtherTimeline || instance.id === this.writes.primary?.base?.instance) {
        this.abortTransactions(instance.id);
        instance.position = undefined;
      }
      instance.setPrimary(isPrimary);
      instance.monitor.check();
      this.requests.requeue(instance);
    }
  }

  private abortTransactions(instance: InstanceId): void {
    const { transactions } = this.requests;
    for (const transaction of transactions.getByInstance(instance)) {
      transactions.abort(transaction.id);
    }
  }

  /** Returns the view of the group for routing, without a replica that declined the request. */
  private getView(busyInstance?: InstanceId): GroupView {
    const nowMs = this.context.timer.now();
    const held = [...this.instances.values()];
    const usualMs =
      this.context.usesRecentLatency === true
        ? getUsualLatencyMs(
            held.map(({ latency }) => latency),
            nowMs,
          )
        : 0;
    const instances = held
      .filter((each) => each.id !== busyInstance || this.isPrimary(each))
      .map((instance) => instance.getView(nowMs, usualMs));
    const { primary, isFenced, acknowledged } = this.writes;
    return { primary, fenced: isFenced, acknowledged, instances };
  }

  private createMovedFault(): Fault {
    return createFault(Diagnostics.HolderMoved, { group: this.group }, { step: 'holder.group' });
  }
}

function isRead({ kind, readOnly }: ExecuteRequest): boolean {
  return kind === RequestKind.Read || readOnly === true;
}

/** Whether a request is a single write, which reads no data that could be out of date. */
function isBlindWrite({ kind }: ExecuteRequest): boolean {
  return kind === RequestKind.Write;
}

function getRequirement(request: ExecuteRequest, avoidsReplicas: boolean): ReadRequirement {
  const { session, maximumStalenessMs, latest = false } = request;
  return { session, maximumStalenessMs, latest, avoidsReplicas };
}
