import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import type { InstanceId, RequestId } from '../../common/ids/index.js';
import {
  getRetryBackoffMs,
  type LoadReport,
  type ReportPacer,
} from '../../decisions/overload/index.js';
import { mayRetry, RouteKind } from '../../decisions/routing/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import {
  BackendRefusal,
  type BackendLink,
  type ConnectionWaiter,
  type ProbeAnswer,
} from '../backend/index.js';
import {
  getRequestSender,
  RequestKind,
  sortByUrgency,
  TransactionStatus,
  type ExecuteRequest,
  type ResponseReceiver,
  type RunningRequest,
} from '../requests/index.js';
import { GroupTransactions } from './groupTransactions.js';
import type { HeldInstance } from './heldInstance.js';
import { HeldRequest, type HeldRequestOwner } from './heldRequest.js';
import { createConnectionLostFault } from './createConnectionLostFault.js';
import { createGroupLoadReport } from './createLoadReport.js';
import { createQueueItem } from './createQueueItem.js';
import { endOverdue } from './endOverdue.js';
import { logHeldRequest } from './logHeldRequest.js';
import { recordHeldRequest } from './recordHeldRequest.js';
import { HeldRequestHandle } from './heldRequestHandle.js';
import type { HolderContext } from './holderContext.js';
import { ReadRebalancer, type MovableReads, type ReadTargets } from './readRebalancer.js';
import type { WriteAcknowledger } from './writeAcknowledger.js';

/** First wait before a declined request is sent again, in milliseconds. */
const FIRST_RETRY_MS = 10;

/** Routing, instances and event handlers that a group provides for its requests. */
export interface RequestTargets extends ReadTargets {
  getInstance(id: InstanceId): HeldInstance | undefined;
  /** Whether a request may be sent to an instance now. */
  mayStart(held: HeldRequest, instance: HeldInstance): boolean;
  /** Returns the position that an instance must have reached before it runs a request. */
  getMinimum(held: HeldRequest): SessionPosition | undefined;
  /** Called when an instance reported its state in the answer to a request sent at `sentMs`. */
  stateObserved(instance: HeldInstance, state: ProbeAnswer, sentMs: number): void;
  /** Called when an instance reports that it is not the primary. */
  primaryRoleLost(instance: HeldInstance): void;
  /** Called when a request has ended. */
  requestEnded(held: HeldRequest): void;
}

/** Manages the requests of a held group, from arrival to answer. */
export class GroupRequests implements HeldRequestOwner, MovableReads {
  readonly transactions: GroupTransactions;
  private readonly requests = new Map<RequestId, HeldRequest>();
  private readonly waiting = new Set<HeldRequest>();
  /** Requests that have a slot of their instance and wait for a connection to it. */
  private readonly connecting = new Map<HeldRequest, ConnectionWaiter>();
  private received = 0;
  private closingFault: Fault | undefined;
  /** The fault with which new transactions are refused; undefined while they are accepted. */
  private openingFault: Fault | undefined;
  private readonly moves: ReadRebalancer;

  constructor(
    private readonly context: HolderContext,
    private readonly targets: RequestTargets,
    private readonly writes: WriteAcknowledger,
  ) {
    this.transactions = new GroupTransactions(context.timer);
    this.moves = new ReadRebalancer(context.timer, targets, this);
  }

  /** Number of requests that arrived here so far, a measure of the work for them. */
  get receivedCount(): number {
    return this.received;
  }

  /** Whether no request runs or waits and no transaction is open. */
  get isIdle(): boolean {
    return this.requests.size === 0 && this.transactions.count === 0;
  }

  /** Whether a request that may change data was sent to an instance and has not ended. */
  hasStartedWrites(): boolean {
    for (const held of this.requests.values()) {
      if (held.startedMs !== undefined && held.request.kind !== RequestKind.Read) {
        return true;
      }
    }
    return false;
  }

  /** Runs a request; the answer goes to the receiver. */
  execute(request: ExecuteRequest, receiver: ResponseReceiver): RunningRequest {
    this.received += 1;
    const held = new HeldRequest(request, receiver, this.context.timer.now());
    held.onFinished = () => {
      this.requests.delete(request.id);
      this.waiting.delete(held);
      this.targets.requestEnded(held);
      logHeldRequest(held, this.context);
      recordHeldRequest(held, this.context);
      this.moves.fillFreeSlots();
    };
    const { loadReports } = this.context;
    if (loadReports !== undefined) {
      held.getLoad = () => this.takeLoadReport(request, loadReports);
    }
    this.requests.set(request.id, held);
    if (request.transaction === undefined) {
      this.route(held);
    } else {
      this.transactions.continue(request.transaction, held);
    }
    return new HeldRequestHandle(held, () => this.cancel(held));
  }

  /**
   * Refuses new transactions, and all requests once none is open; single statements run until then.
   */
  closeAfterTransactions(fault: Fault): void {
    this.openingFault = fault;
    this.refuseUnstarted(fault, ({ kind }) => kind === RequestKind.Begin);
    this.closeWhenNoTransactions();
  }

  /** Refuses new and waiting requests as not run, except those of open transactions. */
  close(fault: Fault): void {
    this.closingFault = fault;
    this.refuseUnstarted(fault, ({ transaction }) => transaction === undefined);
  }

  /** Fails every remaining request, for example after all connections were closed. */
  failRemaining(fault: Fault): void {
    for (const held of [...this.requests.values()]) {
      held.fail(fault, { nowMs: this.context.timer.now() });
    }
  }

  /** Routes again the requests that wait for an instance, and moves queued reads to free slots. */
  retryWaiting(): void {
    const nowMs = this.context.timer.now();
    for (const held of this.getWaiting().filter(({ retryAtMs }) => retryAtMs <= nowMs)) {
      this.route(held);
    }
    this.moves.fillFreeSlots();
  }

  /** Routes again the requests that are queued on an instance and have not started. */
  requeue(instance: HeldInstance): void {
    for (const item of instance.queue.drain(this.context.timer.now())) {
      const held = this.requests.get(item.requestId);
      if (held !== undefined) {
        this.route(held);
      }
    }
  }

  /**
   * Refuses waiting requests and ends running ones whose deadline has passed; routes others again.
   */
  tick(nowMs: number): void {
    this.closeWhenNoTransactions();
    for (const held of [...this.requests.values()]) {
      endOverdue(held, nowMs);
    }
    this.endOverdueConnecting(nowMs);
    for (const held of this.getWaiting()) {
      if (held.deadlineMs <= nowMs) {
        const context = { step: 'holder.wait' };
        this.failNotRun(held, createFault(Diagnostics.DeadlineExceeded, {}, context));
      } else if (held.retryAtMs <= nowMs) {
        this.route(held);
      }
    }
  }

  /**
   * Rolls back the transactions of an instance that may run nothing more, unless a statement runs in
   * them; the next statement is refused.
   */
  endWithdrawn(instance: HeldInstance, nowMs: number): void {
    if (this.transactions.count === 0 || !instance.isWithdrawn(nowMs)) {
      return;
    }
    for (const { id, current } of this.transactions.getByInstance(instance.id)) {
      if (current?.startedMs === undefined) {
        this.transactions.abort(id);
      }
    }
  }

  /** Starts a queued request that obtained a slot of its instance. */
  slotGranted(instance: HeldInstance, id: RequestId): void {
    const transaction = this.transactions.get(id);
    if (transaction?.current !== undefined) {
      transaction.current.primaryPositionBefore = this.writes.primaryPosition;
      instance.recordSent(id);
      transaction.current.run(transaction.connection, this, this.context.timer.now());
      return;
    }
    const held = this.requests.get(id);
    if (held === undefined) {
      instance.complete(id);
      return;
    }
    const waiter: ConnectionWaiter = {
      account: held.request.account,
      ...(held.request.priority === undefined ? {} : { priority: held.request.priority }),
      connected: (connection) => {
        this.connecting.delete(held);
        this.start(held, instance, connection);
      },
      failed: (fault) => {
        this.connecting.delete(held);
        this.startFailed(held, instance, fault);
      },
    };
    this.connecting.set(held, waiter);
    instance.pool.acquire(waiter);
  }

  /** Fails a queued request that gets no slot. */
  slotRefused(id: RequestId, fault: Fault): void {
    const held = this.transactions.takeCurrent(id) ?? this.requests.get(id);
    if (held !== undefined) {
      this.failNotRun(held, fault);
    }
  }

  requestRan(held: HeldRequest, state: ProbeAnswer | undefined): void {
    const nowMs = this.context.timer.now();
    const { instance, startedMs = nowMs } = held;
    held.endedMs = nowMs;
    instance?.latency.record(nowMs - startedMs, nowMs);
    this.recordResult(held, nowMs, false);
    if (instance !== undefined && state !== undefined) {
      this.targets.stateObserved(instance, state, startedMs);
    }
    if (held.status !== TransactionStatus.Idle) {
      this.transactions.keepOpen(held);
      return;
    }
    this.releaseResources(held);
    if (held.request.mayCommit && !held.failedOnServer) {
      this.writes.confirm(held, state);
    } else {
      held.finish(this.createDetails(held, nowMs));
    }
  }

  requestDeclined(held: HeldRequest, refusal: BackendRefusal): void {
    const { instance, connection, request } = held;
    const peer = instance?.id;
    const context = { step: 'holder.declined', ...(peer === undefined ? {} : { peer }) };
    if (refusal === BackendRefusal.NotPrimary && instance !== undefined) {
      this.targets.primaryRoleLost(instance);
    }
    if (refusal === BackendRefusal.Busy) {
      this.recordResult(held, this.context.timer.now(), true);
    }
    if (request.transaction !== undefined) {
      this.transactions.statementDeclined(
        held,
        createFault(Diagnostics.BackendDeclined, { refusal }, context),
      );
      return;
    }
    if (held.usageWindow !== undefined) {
      this.context.usage?.cancel(request.account, held.usageWindow);
    }
    instance?.cancel(request.id);
    if (connection !== undefined) {
      instance?.pool.release(connection, refusal !== BackendRefusal.StatementUnknown);
    }
    held.avoidsReplicas ||= refusal === BackendRefusal.Behind;
    held.reset();
    if (instance !== undefined && refusal === BackendRefusal.Busy) {
      this.delayRetry(held, instance);
    }
    this.deferRouting(held);
  }

  requestLost(held: HeldRequest, fault: Fault): void {
    const { instance, request } = held;
    instance?.monitor.check();
    if (!held.wasCancelled && !held.abandoned) {
      this.recordResult(held, this.context.timer.now(), true);
    }
    if (this.transactions.connectionLost(held)) {
      return;
    }
    instance?.complete(request.id);
    // The backend server rolls back a transaction whose connection is lost: nothing was changed.
    const isHarmless = request.kind === RequestKind.Begin && !request.mayCommit;
    const mayRunAgain = !held.abandoned && this.mayRunAgain(held, isHarmless);
    if (mayRunAgain && instance?.retries.tryTakeRetry() !== false) {
      held.reset();
      this.waiting.add(held);
      return;
    }
    held.fail(createConnectionLostFault(held, fault, isHarmless), {
      nowMs: this.context.timer.now(),
    });
  }

  /** Returns the requests that wait for an instance, the most urgent first. */
  private getWaiting(): HeldRequest[] {
    return sortByUrgency(this.waiting, ({ request }) => request.priority);
  }

  private route(held: HeldRequest): void {
    if (held.finished) {
      return;
    }
    const isOpening = held.request.kind === RequestKind.Begin;
    const fault = this.closingFault ?? (isOpening ? this.openingFault : undefined);
    if (fault !== undefined) {
      this.failNotRun(held, fault);
      return;
    }
    const decision = this.targets.route(held);
    switch (decision.kind) {
      case RouteKind.Instance: {
        const instance = this.targets.getInstance(decision.instance);
        if (instance === undefined) {
          this.waiting.add(held);
          return;
        }
        this.waiting.delete(held);
        held.onReplica = !decision.isPrimary;
        this.enqueue(held, instance);
        return;
      }
      case RouteKind.Wait:
        this.waiting.add(held);
        return;
      case RouteKind.Refuse:
        this.failNotRun(held, decision.fault);
    }
  }

  /** Returns a request that was accepted and has not ended. */
  get(id: RequestId): HeldRequest | undefined {
    return this.requests.get(id);
  }

  /** Queues a request on an instance. */
  enqueue(held: HeldRequest, instance: HeldInstance): void {
    held.instance = instance;
    held.routing = instance.getRouting(this.context.timer.now());
    instance.enqueue(createQueueItem(held, instance, this.context.records));
  }

  /** Refuses the requests whose deadline has passed while they waited for a connection. */
  private endOverdueConnecting(nowMs: number): void {
    for (const [held, waiter] of [...this.connecting]) {
      if (held.deadlineMs > nowMs && !held.finished) {
        continue;
      }
      this.connecting.delete(held);
      held.instance?.pool.abandon(waiter);
      held.instance?.cancel(held.request.id);
      const context = { step: 'holder.connect' };
      this.failNotRun(held, createFault(Diagnostics.DeadlineExceeded, {}, context));
    }
  }

  private start(held: HeldRequest, instance: HeldInstance, connection: BackendLink): void {
    if (held.finished || !this.targets.mayStart(held, instance)) {
      instance.pool.release(connection, true);
      instance.cancel(held.request.id);
      this.deferRouting(held);
      return;
    }
    held.minimum = this.targets.getMinimum(held);
    held.primaryPositionBefore = this.writes.primaryPosition;
    instance.recordSent(held.request.id);
    held.run(connection, this, this.context.timer.now());
    this.count(held, connection);
  }

  /**
   * Counts a request that was given to a connection, unless that was closed before: nothing was sent
   * then.
   */
  private count(held: HeldRequest, connection: BackendLink): void {
    if (held.connection === connection && !held.finished) {
      held.usageWindow = this.context.usage?.begin(held.request.account);
    }
  }

  private startFailed(held: HeldRequest, instance: HeldInstance, fault: Fault): void {
    instance.cancel(held.request.id);
    instance.monitor.check();
    held.declines += 1;
    this.recordResult(held, this.context.timer.now(), true);
    this.delayRetry(held, instance);
    this.context.logger.debug(fault.message, { step: fault.step, peer: fault.peer });
    this.deferRouting(held);
  }

  /** Defers the next routing to the next tick or probe, which may update the instances' state. */
  private deferRouting(held: HeldRequest): void {
    if (!held.finished) {
      this.waiting.add(held);
    }
  }

  /**
   * Delays the next attempt of a request that an instance declined or could not be sent to, so that
   * an instance in trouble does not get the same requests at every tick.
   */
  private delayRetry(held: HeldRequest, instance: HeldInstance): void {
    const { loadReports, random, timer } = this.context;
    if (loadReports !== undefined) {
      const hasBudget = instance.retries.tryTakeRetry();
      const delayMs = getRetryBackoffMs(FIRST_RETRY_MS, held.declines, hasBudget, random);
      held.retryAtMs = timer.now() + delayMs;
      held.busyInstance = instance.id;
    }
  }

  private recordResult(
    { instance, request, startedMs }: HeldRequest,
    nowMs: number,
    failed: boolean,
  ): void {
    const serviceMs = nowMs - (startedMs ?? nowMs);
    instance?.recordResult({ costClass: request.costClass, serviceMs, failed });
  }

  /** Returns the load report for the answer to a request, if one is due. */
  private takeLoadReport(request: ExecuteRequest, reports: ReportPacer): LoadReport | undefined {
    const { group, instance, lease, id } = request;
    const recipient = { incarnation: getRequestSender(id), group, instance, lease };
    const nowMs = this.context.timer.now();
    return reports.take(recipient, () => createGroupLoadReport(this.targets, nowMs), nowMs);
  }

  private closeWhenNoTransactions(): void {
    if (this.openingFault === undefined || this.closingFault !== undefined) {
      return;
    }
    const isOpening = [...this.requests.values()].some(
      ({ request, startedMs }) => request.kind === RequestKind.Begin && startedMs !== undefined,
    );
    if (this.transactions.count === 0 && !isOpening) {
      this.close(this.openingFault);
    }
  }

  private refuseUnstarted(fault: Fault, isAffected: (request: ExecuteRequest) => boolean): void {
    for (const held of [...this.requests.values()]) {
      if (held.startedMs === undefined && isAffected(held.request)) {
        held.instance?.cancel(held.request.id);
        this.failNotRun(held, fault);
      }
    }
  }

  private releaseResources(held: HeldRequest): void {
    const { connection, instance, request } = held;
    const slotOwner = this.transactions.get(request.transaction ?? '')?.id ?? request.id;
    this.transactions.remove(slotOwner);
    instance?.complete(slotOwner);
    if (connection !== undefined) {
      instance?.pool.release(connection, !request.closesConnection && !held.abandoned);
    }
  }

  private createDetails(
    held: HeldRequest,
    nowMs: number,
  ): { readonly nowMs: number; readonly position?: SessionPosition } {
    const position = held.onReplica ? held.instance?.position : this.writes.acknowledged;
    return position === undefined ? { nowMs } : { nowMs, position };
  }

  private cancel(held: HeldRequest): void {
    // A request that has run waits for its acknowledgement; its connection may run another request.
    if (held.finished || held.endedMs !== undefined) {
      return;
    }
    if (held.startedMs !== undefined) {
      held.wasCancelled = true;
      held.connection?.cancel();
      return;
    }
    if (held.request.transaction === undefined) {
      held.instance?.complete(held.request.id);
    } else {
      this.transactions.takeCurrent(held.request.transaction);
    }
    this.failNotRun(held, createFault(Diagnostics.RequestCancelled, {}, { step: 'holder.cancel' }));
  }

  private failNotRun(held: HeldRequest, fault: Fault): void {
    const transaction = this.transactions.get(held.request.transaction ?? '');
    if (transaction !== undefined) {
      this.transactions.failStatement(held, transaction, fault);
      return;
    }
    held.fail(fault, { nowMs: this.context.timer.now() });
  }

  private mayRunAgain(held: HeldRequest, isHarmless: boolean): boolean {
    return mayRetry({
      execution: isHarmless ? Execution.NotRun : Execution.Unknown,
      idempotent: held.request.idempotent,
      answered: held.answered,
      inTransaction: held.request.transaction !== undefined,
      nowMs: this.context.timer.now(),
      deadlineMs: held.deadlineMs,
    });
  }
}
