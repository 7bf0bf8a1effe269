import { Diagnostics, type Diagnostic } from '../../common/diagnostics/index.js';
import type { AccountId, HostId, Incarnation } from '../../common/ids/index.js';
import { PRIORITY_RANKS } from '../../common/priority.js';
import { RankedFifo } from '../queue/rankedFifo.js';
import { RankSums } from '../queue/rankSums.js';
import type { AccountLimit } from './accountLimit.js';
import { type AdmissionCounts, createAdmissionCounts } from './admissionCounts.js';
import type { AdmissionRequest } from './admissionRequest.js';
import { DemandEstimate } from './demandEstimate.js';
import { type EntryOutput, LimiterOutputKind } from './limiterOutput.js';
import {
  DEMAND_WINDOW_MS,
  MAXIMUM_LEAD_MS,
  MAXIMUM_WAITING,
  PREFETCH_DEMAND,
  PREFETCH_HORIZON_MS,
  PREFETCH_MARGIN_MS,
  SCARCITY_HORIZON_MS,
  SCARCITY_VALIDITY_MS,
  STEADY_DEMAND_WINDOW_MS,
  ACTIVITY_WINDOW_MS,
} from './limitTiming.js';
import type { TokenGrant } from './tokenGrant.js';
import { type AccountHolder, TokenExchange } from './tokenExchange.js';
import type { MessageToHolder } from './tokenMessage.js';
import { type ClosedGrant, TokenStock } from './tokenStock.js';
import { createWaitingRequest, type WaitingRequest } from './waitingRequest.js';

const MINIMUM_SHARE = 1e-6;

/**
 * Admission control of one account at one entry daemon: its tokens in stock, its waiting requests
 * and the token exchange with its holder.
 */
export class AccountLimiter {
  readonly counts: AdmissionCounts = createAdmissionCounts();
  private readonly stock = new TokenStock();
  private readonly demand = new DemandEstimate(DEMAND_WINDOW_MS);
  private readonly steadyDemand = new DemandEstimate(STEADY_DEMAND_WINDOW_MS);
  /** Requests that wait for tokens, the most urgent first. */
  private readonly waiting = new RankedFifo<WaitingRequest>(
    ({ rank }) => rank,
    ({ isDone }) => !isDone,
  );
  private readonly exchange: TokenExchange;
  private readonly waitingCosts = new RankSums();
  private readonly waitingCounts = new RankSums();
  /** Minimum rate, in tokens per second, that the holder guarantees, as of its last grant. */
  private guaranteedRate: number;
  /** Tokens that the holder could still grant, as of its last grant. */
  private available: number;
  private lastGrantMs = Number.NEGATIVE_INFINITY;
  private lastRequestMs = Number.NEGATIVE_INFINITY;
  /** Whether all entry daemons together demanded more than the rate, as of the last grant. */
  private isContended = false;
  /** Whether the holder's bucket is still filling after its start, as of the last grant. */
  private isStarting = false;
  /** Whether grants were closed with unused tokens and this is not reported to the holder yet. */
  private hasUnreportedReturns = false;

  constructor(
    readonly account: AccountId,
    entry: HostId,
    incarnation: Incarnation,
    private limit: AccountLimit,
  ) {
    this.exchange = this.createExchange(entry, incarnation);
    this.guaranteedRate = limit.rate;
    this.available = limit.burst;
  }

  /** Whether the account needs no further ticks. */
  isIdle(nowMs: number): boolean {
    return (
      !this.isRecentlyActive(nowMs) &&
      this.waitingCounts.total === 0 &&
      this.stock.isEmpty &&
      !this.exchange.hasUnreportedSettlements
    );
  }

  /** Unexpired tokens in stock. */
  getStock(nowMs: number): number {
    return this.stock.getRemainingAt(nowMs);
  }

  setLimit(limit: AccountLimit): void {
    this.guaranteedRate = Math.min(
      limit.rate,
      this.guaranteedRate * (limit.rate / this.limit.rate) || limit.rate,
    );
    this.limit = limit;
  }

  setHolder(holder: AccountHolder | undefined, nowMs: number, outputs: EntryOutput[]): void {
    this.isStarting ||= holder?.lease !== this.exchange.getHolder()?.lease;
    this.exchange.setHolder(holder);
    this.requestTokens(nowMs, outputs);
  }

  /** Admits, refuses or queues a request; returns the waiting request if it is queued. */
  request(
    request: AdmissionRequest,
    nowMs: number,
    outputs: EntryOutput[],
  ): WaitingRequest | undefined {
    this.closeExpired(nowMs);
    this.demand.record(request.cost, nowMs);
    this.steadyDemand.record(request.cost, nowMs);
    this.lastRequestMs = nowMs;
    const waiting = createWaitingRequest(request, nowMs);
    const hasNoneBefore = this.waitingCounts.getUpTo(waiting.rank) === 0;
    if (hasNoneBefore && this.stock.getRemaining() >= request.cost) {
      this.admit(waiting, nowMs, outputs);
    } else if (!this.refuseEarly(waiting, nowMs, outputs)) {
      this.waiting.push(waiting);
      this.waitingCosts.add(waiting.rank, request.cost);
      this.waitingCounts.add(waiting.rank, 1);
      this.refuseDelayed(nowMs, outputs);
    }
    this.requestTokens(nowMs, outputs);
    return waiting.isDone ? undefined : waiting;
  }

  /** Refuses a waiting request that can no longer be admitted in time. */
  expireRequest(waiting: WaitingRequest, nowMs: number, outputs: EntryOutput[]): void {
    this.removeWaiting(waiting);
    const diagnostic =
      this.exchange.getHolder() === undefined
        ? Diagnostics.TokensUnavailable
        : Diagnostics.RateExceeded;
    this.refuse(waiting, diagnostic, this.estimateWaitMs(waiting, nowMs), outputs);
    this.admitWaiting(nowMs, outputs);
  }

  /** Refuses every waiting request because the account is no longer in force. */
  refuseAll(outputs: EntryOutput[]): void {
    for (let first = this.waiting.peek(); first !== undefined; first = this.waiting.peek()) {
      this.removeWaiting(first);
      this.refuse(first, Diagnostics.AccountWithoutLimit, 0, outputs);
    }
  }

  /** Marks a waiting request as done and no longer counts it as waiting. */
  removeWaiting(waiting: WaitingRequest): void {
    waiting.isDone = true;
    this.waitingCosts.add(waiting.rank, -waiting.request.cost);
    this.waitingCounts.add(waiting.rank, -1);
  }

  receiveGrant(grant: TokenGrant, nowMs: number, outputs: EntryOutput[]): void {
    const expiresMs = this.exchange.accept(grant, nowMs);
    if (expiresMs === undefined) {
      return;
    }
    this.guaranteedRate = Math.max(MINIMUM_SHARE, grant.share);
    this.available = grant.available;
    this.isStarting = grant.starting;
    this.isContended = grant.contended;
    this.lastGrantMs = nowMs;
    if (grant.amount > 0) {
      this.counts.granted += grant.amount;
      this.stock.add(grant.sequence, grant.amount, expiresMs);
    }
    this.closeExpired(nowMs);
    this.admitWaiting(nowMs, outputs);
    this.requestTokens(nowMs, outputs);
  }

  /** Returns all tokens in stock to the holder, unless requests are waiting. */
  receiveRecall(nowMs: number, outputs: EntryOutput[]): void {
    if (this.waitingCounts.total === 0 && !this.stock.isEmpty) {
      this.recordClosed(this.stock.releaseAll(), nowMs);
      this.sendReturn(nowMs, outputs);
    }
  }

  tick(nowMs: number, outputs: EntryOutput[]): void {
    this.closeExpired(nowMs);
    this.admitWaiting(nowMs, outputs);
    this.refuseDelayed(nowMs, outputs);
    this.requestTokens(nowMs, outputs);
    // Settlements of used tokens are sent with the next request; while the holder has enough tokens,
    // it may as well count them as used when their grant expires. Unused tokens are reported
    // immediately, since the holder counts them as used if their settlement is delayed.
    this.exchange.dropExpiredSettlements(nowMs);
    const isDue =
      this.hasUnreportedReturns || (!this.exchange.isAwaitingGrant && !this.isPlentiful(nowMs));
    if (this.exchange.hasUnreportedSettlements && isDue) {
      this.sendReturn(nowMs, outputs);
    }
  }

  /** Creates the token exchange with the account's holder. */
  protected createExchange(entry: HostId, incarnation: Incarnation): TokenExchange {
    return new TokenExchange(this.account, entry, incarnation);
  }

  /** Estimated wait of a request that is queued now behind those as urgent, in milliseconds. */
  private estimateWaitMs({ request, rank }: WaitingRequest, nowMs: number): number {
    return this.estimateWaitAfterMs(this.waitingCosts.getUpTo(rank) + request.cost, nowMs);
  }

  /** Estimated time until that many tokens have been granted here, in milliseconds. */
  private estimateWaitAfterMs(cost: number, nowMs: number): number {
    const elapsedMs = nowMs - this.lastGrantMs;
    // Tokens that a scarce account has gained since the last grant went to requests that wait at
    // other entry daemons.
    const refilled = this.isScarce(elapsedMs)
      ? 0
      : this.available + (elapsedMs / 1000) * this.guaranteedRate;
    const expectedTokens = this.stock.getRemaining() + Math.min(this.limit.burst, refilled);
    return (Math.max(0, cost - expectedTokens) / this.guaranteedRate) * 1000;
  }

  /**
   * Whether the last grant left few tokens and all entry daemons together demand more than the
   * rate.
   */
  private isScarce(elapsedMs: number): boolean {
    const isRecent = elapsedMs < SCARCITY_VALIDITY_MS;
    const hasFewTokens = this.available < (this.limit.rate * SCARCITY_HORIZON_MS) / 1000;
    return this.isContended && !this.isStarting && isRecent && hasFewTokens;
  }

  /** Whether tokens are requested before they are needed. */
  private isPrefetching(nowMs: number): boolean {
    return this.isContended || this.steadyDemand.getRate(nowMs) >= PREFETCH_DEMAND;
  }

  /**
   * Whether the holder need not be told of used tokens: requests are rare here, and the last grant
   * left at least half of the burst.
   */
  private isPlentiful(nowMs: number): boolean {
    return !this.isPrefetching(nowMs) && this.available >= this.limit.burst / 2;
  }

  private refuseEarly(waiting: WaitingRequest, nowMs: number, outputs: EntryOutput[]): boolean {
    const { cost } = waiting.request;
    if (cost > this.limit.burst) {
      return this.refuse(waiting, Diagnostics.CostAboveBurst, ACTIVITY_WINDOW_MS, outputs);
    }
    const waitMs = this.estimateWaitMs(waiting, nowMs);
    const excessMs = nowMs + waitMs - this.getLatestAdmissionMs(waiting);
    if (excessMs > 0) {
      return this.refuse(waiting, Diagnostics.RateExceeded, excessMs, outputs);
    }
    if (this.waitingCounts.total >= MAXIMUM_WAITING) {
      return this.refuse(waiting, Diagnostics.TooManyWaiting, waitMs / 2, outputs);
    }
    return false;
  }

  /**
   * Latest time at which the request may be admitted. Without a holder, and while a new holder's
   * bucket fills, even requests within the rate may have to wait, hence `maximumWaitMs` does not
   * apply.
   */
  private getLatestAdmissionMs({ request, sinceMs, latestMs }: WaitingRequest): number {
    const { maximumWaitMs = Infinity } = request;
    const mayWaitLong = this.exchange.getHolder() === undefined || this.isStarting;
    return Math.min(latestMs, mayWaitLong ? Infinity : sinceMs + maximumWaitMs);
  }

  /**
   * Refuses the requests that more urgent ones delay beyond their latest admission. They would
   * otherwise wait until their deadlines for tokens that go to later, more urgent requests.
   */
  private refuseDelayed(nowMs: number, outputs: EntryOutput[]): void {
    const firstRank = this.waitingCounts.getFirstRank();
    for (let rank = firstRank + 1; rank < PRIORITY_RANKS; rank += 1) {
      for (
        let first = this.waiting.peekRank(rank);
        first !== undefined && this.isDelayed(first, nowMs);
        first = this.waiting.peekRank(rank)
      ) {
        this.removeWaiting(first);
        this.refuse(first, Diagnostics.RateExceeded, this.estimateWaitMs(first, nowMs), outputs);
      }
    }
  }

  private isDelayed(first: WaitingRequest, nowMs: number): boolean {
    const { rank, request } = first;
    const waitMs = this.estimateWaitAfterMs(
      this.waitingCosts.getUpTo(rank - 1) + request.cost,
      nowMs,
    );
    return nowMs + waitMs > this.getLatestAdmissionMs(first);
  }

  private refuse(
    waiting: WaitingRequest,
    diagnostic: Diagnostic,
    retryAfterMs: number,
    outputs: EntryOutput[],
  ): true {
    waiting.isDone = true;
    const { requestId, cost } = waiting.request;
    const { rate, burst } = this.limit;
    this.counts.refused.set(diagnostic.code, (this.counts.refused.get(diagnostic.code) ?? 0) + 1);
    outputs.push({
      kind: LimiterOutputKind.Refuse,
      requestId,
      account: this.account,
      diagnostic,
      values: { account: this.account, cost, rate, burst, limit: MAXIMUM_WAITING },
      retryAfterMs: Math.ceil(Math.max(retryAfterMs, (cost / this.guaranteedRate) * 1000)),
    });
    return true;
  }

  private admitWaiting(nowMs: number, outputs: EntryOutput[]): void {
    for (let first = this.waiting.peek(); first !== undefined; first = this.waiting.peek()) {
      if (this.stock.getRemaining() < first.request.cost) {
        return;
      }
      this.waiting.shift();
      this.removeWaiting(first);
      this.admit(first, nowMs, outputs);
    }
  }

  private admit(waiting: WaitingRequest, nowMs: number, outputs: EntryOutput[]): void {
    waiting.isDone = true;
    this.exchange.recordSettlements(this.stock.spend(waiting.request.cost), nowMs);
    this.counts.admitted += 1;
    outputs.push({
      kind: LimiterOutputKind.Admit,
      requestId: waiting.request.requestId,
      account: this.account,
      waitedMs: nowMs - waiting.sinceMs,
    });
  }

  private closeExpired(nowMs: number): void {
    this.recordClosed(this.stock.expire(nowMs), nowMs);
  }

  private recordClosed(closed: readonly ClosedGrant[], nowMs: number): void {
    this.exchange.recordSettlements(closed, nowMs);
    for (const grant of closed) {
      this.counts.returned += grant.unused;
      this.hasUnreportedReturns ||= grant.unused > 0;
    }
  }

  private isRecentlyActive(nowMs: number): boolean {
    return nowMs - this.lastRequestMs < ACTIVITY_WINDOW_MS;
  }

  private requestTokens(nowMs: number, outputs: EntryOutput[]): void {
    const urgent = this.waitingCosts.total;
    if (urgent === 0 && !this.isRecentlyActive(nowMs)) {
      return;
    }
    const demand = this.demand.getRate(nowMs);
    const prefetches = this.isPrefetching(nowMs);
    const reserve = prefetches ? 1 : 0;
    const leadMs = Math.min(
      2 * this.exchange.getRoundTripMs() + PREFETCH_MARGIN_MS,
      MAXIMUM_LEAD_MS,
    );
    const usable = this.stock.getRemainingAt(nowMs + leadMs);
    const isLow = prefetches && usable < (demand * leadMs) / 1000 + reserve;
    if ((urgent === 0 && !isLow) || !this.exchange.canRequest(urgent, nowMs)) {
      return;
    }
    const horizonMs = Math.max(PREFETCH_HORIZON_MS, 2 * leadMs);
    const prefetch = prefetches ? (demand * horizonMs) / 1000 + reserve : 0;
    const target = urgent + prefetch;
    const wanted = Math.ceil(target - usable);
    if (wanted > 0) {
      const head = this.waiting.peek()?.request.cost ?? 0;
      const missing = Math.max(head, urgent - this.stock.getRemaining());
      const need = { head, urgent: urgent > 0 ? missing : 0, wanted, demand };
      this.send(this.exchange.createRequest(need, nowMs), outputs);
    }
  }

  private sendReturn(nowMs: number, outputs: EntryOutput[]): void {
    this.hasUnreportedReturns = false;
    this.send(this.exchange.createReturn(nowMs), outputs);
  }

  private send(message: MessageToHolder | undefined, outputs: EntryOutput[]): void {
    const holder = this.exchange.getHolder();
    if (message !== undefined && holder !== undefined) {
      outputs.push({ kind: LimiterOutputKind.Send, to: holder.host, message });
    }
  }
}
