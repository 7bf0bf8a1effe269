import { assertInvariant, Diagnostics } from '../../common/diagnostics/index.js';
import type { RequestId } from '../../common/ids/index.js';
import { getPriorityRank } from '../../common/priority.js';
import { type AccountQueueState, AccountQueueStates } from './accountQueueState.js';
import { CostEstimate } from './costEstimate.js';
import { ExpectedWaits } from './expectedWaits.js';

import { getLatestStart } from './latestStart.js';
import { OpenTransactions } from './openTransactions.js';
import {
  createQueuedItem,
  isWaiting,
  opensTransaction,
  type QueuedItem,
  QueuedState,
} from './queuedItem.js';
import type { QueueItem } from './queueItem.js';
import { DEFAULT_QUEUE_LIMITS, type QueueLimits } from './queueLimits.js';
import { createAbort, createRefusal, type QueueOutput, QueueOutputKind } from './queueOutput.js';
import { PriorityFairQueueing } from './priorityFairQueueing.js';
import type { QueuePolicy } from './queuePolicy.js';
import { StartDeadlines } from './startDeadlines.js';
import type { StartGate } from './startGate.js';
import { WaitingTotals } from './waitingTotals.js';

/**
 * Number of requests that are checked for one to move, to bound the work per freed slot. A few are
 * sufficient, since reads seldom differ in the instances that may run them.
 */
const MOVE_LOOK_AHEAD = 4;
/** Lower bound on the estimated service time by which work is converted to a number of requests. */
const MINIMUM_COST_MS = 0.1;

/** Options of an instance queue. */
export interface InstanceQueueOptions {
  /** Number of requests that the instance runs concurrently. */
  readonly slots: number;
  readonly policy?: QueuePolicy;
  readonly limits?: Partial<QueueLimits>;
  /** Asked before a request starts; without it the slots alone decide. */
  readonly gate?: StartGate;
}

/** Queue of the requests that wait for, or hold, the slots of one database instance. */
export class InstanceQueue {
  private readonly policy: QueuePolicy;
  private readonly limits: QueueLimits;
  private readonly estimate: CostEstimate;
  private readonly items = new Map<RequestId, QueuedItem>();
  private readonly accounts = new AccountQueueStates();
  private readonly startDeadlines = new StartDeadlines();
  private readonly openTransactions: OpenTransactions;
  private readonly expectedWaits = new ExpectedWaits();
  private readonly gate: StartGate | undefined;
  private slots: number;
  private running = 0;
  private readonly waiting = new WaitingTotals();
  private heldBack = 0;
  /** Number of open transactions whose next statement waits for a slot. */
  private waitingOpen = 0;
  private arrivals = 0;

  constructor(options: InstanceQueueOptions) {
    this.slots = options.slots;
    this.gate = options.gate;
    this.policy = options.policy ?? new PriorityFairQueueing();
    this.limits = { ...DEFAULT_QUEUE_LIMITS, ...options.limits };
    this.estimate = new CostEstimate(this.limits.initialCostMs);
    this.openTransactions = new OpenTransactions(this.limits.transactionLimitMs);
  }

  /** Number of requests that may run concurrently. */
  get slotCount(): number {
    return this.slots;
  }

  /** Number of requests that hold a slot. */
  get runningCount(): number {
    return this.running;
  }

  /** Number of requests that wait for a slot. */
  get waitingCount(): number {
    return this.waiting.count;
  }

  /** Rank of the most urgent waiting request; infinite if none waits. */
  get mostUrgentRank(): number {
    return this.waiting.mostUrgentRank;
  }

  /** Number of transactions that wait until their account has fewer open ones. */
  get heldBackCount(): number {
    return this.heldBack;
  }

  /**
   * Returns the expected wait of a new request of a priority, in milliseconds, for a client account
   * in the middle of those that lately had requests; 0 while a request could start now.
   */
  getExpectedWaitMs(priority: number | undefined, nowMs: number): number {
    const mayStart = this.gate?.mayStart(nowMs) ?? true;
    if (this.running < this.slots && mayStart) {
      return 0;
    }
    const rank = getPriorityRank(priority);
    return this.expectedWaits.get(rank, this.waiting.count, nowMs, () =>
      this.computeExpectedWaitMs(rank, nowMs),
    );
  }

  /** Whether a request is an open transaction. */
  isOpen(requestId: RequestId): boolean {
    return this.items.get(requestId)?.openedMs !== undefined;
  }

  /**
   * Time in milliseconds until the gate lets the next request start on a free slot; undefined if no
   * request waits for the gate.
   */
  getGateWaitMs(nowMs: number): number | undefined {
    const isBlocked = this.waiting.count > this.heldBack && this.running < this.slots;
    return isBlocked ? this.gate?.getWaitMs(0, nowMs) : undefined;
  }

  /** Adds a request; it starts, waits or is refused. A request id already present is ignored. */
  enqueue(item: QueueItem, nowMs: number): QueueOutput[] {
    const outputs: QueueOutput[] = [];
    if (this.items.has(item.requestId)) {
      return outputs;
    }
    const queued = this.createQueued(item, nowMs);
    const accountState = this.accounts.get(item.account);
    if (this.refuseEarly(queued, accountState, nowMs, outputs)) {
      return outputs;
    }
    this.items.set(item.requestId, queued);
    this.policy.add(queued);
    this.addWaiting(queued, accountState);
    this.startReady(nowMs, outputs);
    if (queued.state === QueuedState.Waiting) {
      for (const displaced of this.policy.getDisplaced(queued, this.slots, nowMs)) {
        this.refuseWaiting(displaced, nowMs, outputs);
      }
    }
    return outputs;
  }

  /** Ends a request, and its transaction if it opened one; frees its slot. */
  complete(requestId: RequestId, nowMs: number): QueueOutput[] {
    return this.end(requestId, nowMs, true);
  }

  /**
   * Removes a request in any state and frees its slot. Its service time is charged to the account
   * but does not change the cost estimate.
   */
  cancel(requestId: RequestId, nowMs: number): QueueOutput[] {
    return this.end(requestId, nowMs, false);
  }

  /** Frees the slot of an open transaction until its next statement. */
  pause(requestId: RequestId, nowMs: number): QueueOutput[] {
    const outputs: QueueOutput[] = [];
    const queued = this.items.get(requestId);
    if (queued?.state === QueuedState.Running && queued.openedMs !== undefined) {
      this.estimate.record(queued.item.costClass, nowMs - queued.startedMs);
      this.endService(queued, nowMs);
      queued.state = QueuedState.Paused;
      this.startReady(nowMs, outputs);
    }
    return outputs;
  }

  /** Queues the next statement of a paused transaction, before other requests of its account. */
  resume(requestId: RequestId, deadlineMs: number, nowMs: number): QueueOutput[] {
    const outputs: QueueOutput[] = [];
    const queued = this.items.get(requestId);
    if (queued?.state === QueuedState.Paused) {
      queued.state = QueuedState.Waiting;
      queued.queuedMs = nowMs;
      queued.latestStartMs = this.getLatestStart(deadlineMs, queued.estimateMs, nowMs);
      this.policy.addFirst(queued);
      this.addWaiting(queued, this.accounts.get(queued.item.account));
      this.startReady(nowMs, outputs);
    }
    return outputs;
  }

  /** Sets the longest time for which a transaction may be open, in milliseconds. */
  setTransactionLimit(limitMs: number): void {
    this.openTransactions.limitMs = limitMs;
  }

  /**
   * Refuses requests that can no longer start in time and reports transactions over their limit.
   */
  tick(nowMs: number): QueueOutput[] {
    const outputs: QueueOutput[] = [];
    for (const overdue of this.startDeadlines.takeOverdue(nowMs)) {
      this.refuseWaiting(overdue, nowMs, outputs);
    }
    for (const overdue of this.openTransactions.takeOverdue(nowMs)) {
      outputs.push(createAbort(overdue.item, this.openTransactions.limitMs));
    }
    this.startReady(nowMs, outputs);
    return outputs;
  }

  /** Changes the number of slots; running requests are not touched. */
  setSlots(slots: number, nowMs: number): QueueOutput[] {
    const outputs: QueueOutput[] = [];
    this.slots = slots;
    this.startReady(nowMs, outputs);
    return outputs;
  }

  /**
   * Removes the first request, in start order, that may run on another instance; checks at most
   * `MOVE_LOOK_AHEAD` requests. The account stays charged for the request, since the other instance
   * serves it.
   */
  takeMovable(mayMove: (requestId: RequestId) => boolean, nowMs: number): RequestId | undefined {
    const skipped: QueuedItem[] = [];
    let taken: QueuedItem | undefined;
    while (taken === undefined && skipped.length < MOVE_LOOK_AHEAD) {
      const queued = this.policy.next(nowMs);
      if (queued === undefined) {
        break;
      }
      const isNew = queued.openedMs === undefined;
      if (isNew && mayMove(queued.item.requestId)) {
        taken = queued;
      } else {
        skipped.push(queued);
      }
    }
    this.putBack(skipped);
    if (taken === undefined) {
      return undefined;
    }
    this.markRemovedFromPolicy(taken);
    this.remove(taken, nowMs);
    return taken.item.requestId;
  }

  /** Removes and returns every request that was not started, in order of arrival. */
  drain(nowMs: number): QueueItem[] {
    const drained = [...this.items.values()]
      .filter((queued) => isWaiting(queued) && queued.openedMs === undefined)
      .sort((left, right) => left.order - right.order);
    for (const queued of drained) {
      this.remove(queued, nowMs);
    }
    return drained.map((queued) => queued.item);
  }

  private end(requestId: RequestId, nowMs: number, wasRun: boolean): QueueOutput[] {
    const outputs: QueueOutput[] = [];
    const queued = this.items.get(requestId);
    if (queued !== undefined) {
      if (queued.state === QueuedState.Running && wasRun) {
        this.estimate.record(queued.item.costClass, nowMs - queued.startedMs);
      }
      this.remove(queued, nowMs);
      this.startReady(nowMs, outputs);
    }
    return outputs;
  }

  private createQueued(item: QueueItem, nowMs: number): QueuedItem {
    const estimateMs = this.estimate.get(item.costClass);
    const latestMs = this.getLatestStart(item.deadlineMs, estimateMs, nowMs);
    this.arrivals += 1;
    return createQueuedItem(item, this.arrivals, estimateMs, latestMs, nowMs);
  }

  private getLatestStart(deadlineMs: number, estimateMs: number, nowMs: number): number {
    const latestMs = getLatestStart(deadlineMs, estimateMs, nowMs);
    return Math.min(latestMs, nowMs + this.limits.maximumWaitMs);
  }

  private refuseEarly(
    queued: QueuedItem,
    accountState: AccountQueueState,
    nowMs: number,
    outputs: QueueOutput[],
  ): boolean {
    const mayStart = this.gate?.mayStart(nowMs) ?? true;
    const hasFreeSlot = this.waiting.count === 0 && this.running < this.slots && mayStart;
    if (hasFreeSlot && queued.latestStartMs >= nowMs) {
      return false;
    }
    const { item, rank } = queued;
    if (this.canSurelyStart(queued, accountState, nowMs)) {
      return false;
    }
    const slotWaitMs = this.policy.getWaitMs(item.account, item.weight, this.slots, rank);
    const waitMs = Math.max(slotWaitMs, this.getGateWaitOf(queued, nowMs));
    const { maximumLength, maximumWaitMs } = this.limits;
    if (accountState.waiting >= maximumLength) {
      outputs.push(createRefusal(item, Diagnostics.QueueFull, maximumLength, waitMs / 2));
      return true;
    }
    const excessMs = nowMs + waitMs - queued.latestStartMs;
    queued.marginMs = -excessMs;
    if (excessMs > 0) {
      outputs.push(createRefusal(item, Diagnostics.QueueDeadline, maximumWaitMs, excessMs));
      return true;
    }
    return false;
  }

  /** Whether a request could start in time even after everything that waits. */
  private canSurelyStart(
    queued: QueuedItem,
    accountState: AccountQueueState,
    nowMs: number,
  ): boolean {
    const slotWaitMs = this.waiting.costMs / Math.max(1, this.slots);
    const gateWaitMs = this.gate?.getWaitMs(this.waiting.count, nowMs) ?? 0;
    queued.marginMs = queued.latestStartMs - nowMs - Math.max(slotWaitMs, gateWaitMs);
    return queued.marginMs >= 0 && accountState.waiting < this.limits.maximumLength;
  }

  /**
   * Returns the wait of a new request for the gate. The number of requests before it follows from
   * the work before it, which the policy knows.
   */
  private getGateWaitOf({ item, estimateMs, rank }: QueuedItem, nowMs: number): number {
    if (this.gate === undefined) {
      return 0;
    }
    const workMs = this.policy.getWaitMs(item.account, item.weight, 1, rank);
    const ahead = Math.min(this.waiting.count, workMs / Math.max(MINIMUM_COST_MS, estimateMs));
    return this.gate.getWaitMs(ahead, nowMs);
  }

  private computeExpectedWaitMs(rank: number, nowMs: number): number {
    const workMs = this.policy.getExpectedWaitMs(rank, 1, nowMs);
    const slotWaitMs = workMs / Math.max(1, this.slots);
    const ahead = workMs / Math.max(MINIMUM_COST_MS, this.waiting.meanCostMs);
    return Math.max(slotWaitMs, this.gate?.getWaitMs(ahead, nowMs) ?? 0);
  }

  private addWaiting(queued: QueuedItem, accountState: AccountQueueState): void {
    accountState.waiting += 1;
    this.waiting.add(queued);
    this.waitingOpen += queued.openedMs === undefined ? 0 : 1;
    this.startDeadlines.add(queued);
  }

  private startReady(nowMs: number, outputs: QueueOutput[]): void {
    while (this.running < this.slots && this.waiting.count > 0) {
      const queued = this.takeNext(nowMs);
      if (queued === undefined) {
        return;
      }
      const accountState = this.accounts.get(queued.item.account);
      if (this.policy.isOverdue(queued, nowMs)) {
        this.policy.charge(queued, 0);
        this.markRemovedFromPolicy(queued);
        this.refuseWaiting(queued, nowMs, outputs);
      } else if (this.mustHoldBack(queued, accountState)) {
        this.policy.charge(queued, 0);
        accountState.holdBack(queued);
        this.heldBack += 1;
      } else {
        outputs.push(this.start(queued, accountState, nowMs));
      }
    }
  }

  /** Takes the next request from the policy; while the gate is closed, only an open transaction. */
  private takeNext(nowMs: number): QueuedItem | undefined {
    if (this.gate?.mayStart(nowMs) ?? true) {
      return this.policy.next(nowMs);
    }
    const skipped: QueuedItem[] = [];
    let next: QueuedItem | undefined;
    while (next === undefined && this.waitingOpen > 0) {
      const queued = this.policy.next(nowMs);
      if (queued === undefined) {
        break;
      }
      if (queued.openedMs === undefined) {
        skipped.push(queued);
      } else {
        next = queued;
      }
    }
    this.putBack(skipped);
    return next;
  }

  /** Returns requests to the policy that it gave out and that do not start, in their order. */
  private putBack(skipped: QueuedItem[]): void {
    for (const queued of skipped.reverse()) {
      this.policy.charge(queued, 0);
      this.policy.addFirst(queued);
    }
  }

  /** Marks a request that the policy has returned but that does not start on this instance. */
  private markRemovedFromPolicy(queued: QueuedItem): void {
    queued.state = QueuedState.HeldBack;
    this.heldBack += 1;
  }

  private mustHoldBack(queued: QueuedItem, accountState: AccountQueueState): boolean {
    return opensTransaction(queued) && !accountState.canOpen(queued.item.maximumOpenTransactions);
  }

  private start(queued: QueuedItem, accountState: AccountQueueState, nowMs: number): QueueOutput {
    queued.state = QueuedState.Running;
    queued.startedMs = nowMs;
    this.running += 1;
    this.waiting.subtract(queued);
    accountState.waiting -= 1;
    if (queued.openedMs === undefined) {
      this.gate?.recordStart(queued.item.requestId, nowMs);
    } else {
      this.waitingOpen -= 1;
    }
    assertInvariant(this.running <= this.slots, 'no more requests run than there are slots');
    if (opensTransaction(queued)) {
      queued.openedMs = nowMs;
      accountState.openTransactions += 1;
      this.openTransactions.add(queued);
    }
    return {
      kind: QueueOutputKind.Start,
      requestId: queued.item.requestId,
      account: queued.item.account,
      waitedMs: nowMs - queued.queuedMs,
    };
  }

  private remove(queued: QueuedItem, nowMs: number): void {
    const accountState = this.accounts.get(queued.item.account);
    if (queued.state === QueuedState.Running) {
      this.endService(queued, nowMs);
    } else if (isWaiting(queued)) {
      this.removeWaiting(queued, accountState);
    }
    queued.state = QueuedState.Done;
    this.items.delete(queued.item.requestId);
    if (queued.openedMs !== undefined) {
      accountState.openTransactions -= 1;
    }
    if (queued.item.isTransaction) {
      this.releaseHeldBack(accountState);
    }
  }

  private releaseHeldBack(accountState: AccountQueueState): void {
    const released = accountState.release();
    if (released !== undefined) {
      released.state = QueuedState.Waiting;
      this.heldBack -= 1;
      this.policy.addFirst(released);
    }
  }

  private endService(queued: QueuedItem, nowMs: number): void {
    this.running -= 1;
    this.policy.charge(queued, nowMs - queued.startedMs);
  }

  private removeWaiting(queued: QueuedItem, accountState: AccountQueueState): void {
    if (queued.state === QueuedState.Waiting) {
      this.policy.handleRemoval(queued);
    } else {
      this.heldBack -= 1;
    }
    this.waiting.subtract(queued);
    this.waitingOpen -= queued.openedMs === undefined ? 0 : 1;
    accountState.waiting -= 1;
  }

  private refuseWaiting(queued: QueuedItem, nowMs: number, outputs: QueueOutput[]): void {
    const { account, weight } = queued.item;
    const waitMs = this.policy.getWaitMs(account, weight, this.slots, queued.rank);
    const waitedLong = nowMs - queued.queuedMs >= this.limits.maximumWaitMs;
    const diagnostic = waitedLong ? Diagnostics.QueueWaitExceeded : Diagnostics.QueueDeadline;
    outputs.push(createRefusal(queued.item, diagnostic, this.limits.maximumWaitMs, waitMs));
    if (queued.openedMs === undefined) {
      this.remove(queued, nowMs);
    } else {
      this.removeWaiting(queued, this.accounts.get(account));
      queued.state = QueuedState.Paused;
    }
  }
}
