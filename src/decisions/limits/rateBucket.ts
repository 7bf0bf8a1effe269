import type { AccountId, LeaseId } from '../../common/ids/index.js';
import type { AccountLimit } from './accountLimit.js';
import { createLedger, getLedgerKey, type EntryLedger } from './entryLedger.js';
import { type BucketOutput, LimiterOutputKind } from './limiterOutput.js';
import {
  GRANT_BATCH_MS,
  GRANT_EXPIRY_MS,
  getValidityMs,
  LEDGER_RETENTION_MS,
  MAXIMUM_STARTING_MS,
  RECALL_INTERVAL_MS,
} from './limitTiming.js';
import { type QueuedRequest, QueuedRequests } from './queuedRequests.js';
import type { RateBucketOptions } from './rateBucketOptions.js';
import type { Settlement } from './settlement.js';
import type { MessageToEntry, MessageToHolder } from './tokenMessage.js';
import { TokenMessageKind } from './tokenMessageKind.js';
import { TokenPool } from './tokenPool.js';
import type { TokenRequest } from './tokenRequest.js';

interface OpenGrant {
  readonly ledger: EntryLedger;
  readonly sequence: number;
  readonly endsMs: number;
}

/**
 * Token bucket of one account at the account's holder. It distributes the account's rate in small
 * grants, none of which outlives the holder's lease or the release of the account. A new bucket can
 * therefore start immediately with the tokens that the previous holder handed over: every grant of
 * that holder has expired.
 */
export class RateBucket {
  readonly account: AccountId;
  readonly lease: LeaseId;
  protected readonly pool: TokenPool;
  private readonly ledgers = new Map<string, EntryLedger>();
  private readonly queued = new QueuedRequests();
  private openGrants: OpenGrant[] = [];
  private totalDemand = 0;
  private limit: AccountLimit;
  private leaseEndMs: number;
  private drainEndMs = Number.POSITIVE_INFINITY;
  private unsettledGrantCount = 0;
  private returnedTokens = 0;
  private lastLedgerCleanupMs: number;
  private readonly startedMs: number;
  private lastRecallMs = Number.NEGATIVE_INFINITY;

  constructor(options: RateBucketOptions) {
    this.account = options.account;
    this.lease = options.lease;
    this.limit = options.limit;
    this.leaseEndMs = options.leaseEndMs;
    this.pool = this.createPool(options.limit, options.assignedMs, options.tokens);
    this.lastLedgerCleanupMs = options.assignedMs;
    this.startedMs = options.assignedMs;
  }

  /** Sets the time, on this daemon's clock, by which every grant expires. */
  setLeaseEnd(leaseEndMs: number): void {
    this.leaseEndMs = leaseEndMs;
  }

  /**
   * Starts to release the account: every grant, made before or from now on, has expired on every
   * host's clock one full grant validity, plus clock drift, after the first call.
   */
  drain(nowMs: number): void {
    this.drainEndMs = Math.min(this.drainEndMs, nowMs + GRANT_EXPIRY_MS);
  }

  /**
   * Ends a draining bucket once no grant can be used on any host any more, so that a successor may
   * start; returns whether the bucket has ended. An ended bucket grants nothing.
   */
  release(nowMs: number): boolean {
    if (this.drainEndMs === Number.POSITIVE_INFINITY) {
      return false;
    }
    this.refillAndExpire(nowMs);
    if (this.unsettledGrantCount === 0) {
      this.drainEndMs = Math.min(this.drainEndMs, nowMs);
    }
    return nowMs >= this.drainEndMs;
  }

  /** Sets the rate and burst; outstanding grants count against the new burst. */
  setLimit(limit: AccountLimit, nowMs: number): BucketOutput[] {
    this.refillAndExpire(nowMs);
    this.limit = limit;
    this.pool.setLimit(limit);
    return this.distribute(nowMs);
  }

  /** Handles a message from an entry daemon. */
  receive(message: MessageToHolder, nowMs: number): BucketOutput[] {
    this.refillAndExpire(nowMs);
    if (message.lease !== this.lease || message.account !== this.account) {
      return [];
    }
    const ledger = this.getLedger(message, nowMs);
    this.settleAll(ledger, message.settled);
    if (message.kind === TokenMessageKind.Request && message.sequence > ledger.lastSequence) {
      this.enqueue(ledger, message, nowMs);
    }
    return this.distribute(nowMs);
  }

  /** Grants the tokens gained since the last call; must run every few milliseconds. */
  tick(nowMs: number): BucketOutput[] {
    this.refillAndExpire(nowMs);
    this.removeIdleLedgers(nowMs);
    return this.distribute(nowMs);
  }

  /** Tokens granted and not settled. */
  getOutstanding(): number {
    return this.pool.getOutstanding();
  }

  /** Tokens that could be granted now. */
  getAvailable(): number {
    return this.pool.getAvailable();
  }

  /** Returns the number of tokens returned unused since the last call. */
  takeReturned(): number {
    const tokens = this.returnedTokens;
    this.returnedTokens = 0;
    return tokens;
  }

  /**
   * Returns the validity of a grant for a request received at `receivedMs`. The entry daemon counts
   * it from when it sent the request, hence it ends before the lease expires and before a release.
   */
  protected getGrantValidityMs(receivedMs: number): number {
    return getValidityMs(this.getEndMs() - receivedMs);
  }

  /** Returns the time, on this daemon's clock, by which every grant made now has expired. */
  protected getEndMs(): number {
    return Math.min(this.leaseEndMs, this.drainEndMs);
  }

  /** Creates the pool, which holds `tokens` at `startMs`. */
  protected createPool(limit: AccountLimit, startMs: number, tokens?: number): TokenPool {
    return new TokenPool(limit, startMs, tokens);
  }

  /** Closes a grant; further settlements of the same grant have no effect. */
  protected settle(ledger: EntryLedger, settlement: Settlement): void {
    const amount = ledger.grants.get(settlement.sequence);
    if (amount === undefined) {
      return;
    }
    ledger.grants.delete(settlement.sequence);
    this.unsettledGrantCount -= 1;
    const used = Math.min(amount, Math.max(0, settlement.used));
    this.returnedTokens += amount - used;
    this.pool.settle(amount, amount - used);
  }

  /** Closes a grant without a settlement; all of its tokens may have been used. */
  protected expire(ledger: EntryLedger, sequence: number): void {
    this.settle(ledger, { sequence, used: ledger.grants.get(sequence) ?? 0 });
  }

  private settleAll(ledger: EntryLedger, settlements: readonly Settlement[]): void {
    for (const settlement of settlements) {
      this.settle(ledger, settlement);
    }
  }

  private getLedger(message: MessageToHolder, nowMs: number): EntryLedger {
    const key = getLedgerKey(message.entry, message.incarnation);
    let ledger = this.ledgers.get(key);
    if (ledger === undefined) {
      ledger = createLedger(message.entry, message.incarnation, nowMs);
      this.ledgers.set(key, ledger);
    }
    ledger.lastSeenMs = nowMs;
    return ledger;
  }

  private enqueue(ledger: EntryLedger, request: TokenRequest, nowMs: number): void {
    ledger.lastSequence = request.sequence;
    this.totalDemand += request.demand - ledger.demand;
    ledger.demand = request.demand;
    this.queued.add(request, nowMs);
  }

  private refillAndExpire(nowMs: number): void {
    this.pool.refill(nowMs);
    let expired = 0;
    for (const grant of this.openGrants) {
      if (grant.endsMs > nowMs) {
        break;
      }
      expired += 1;
      this.expire(grant.ledger, grant.sequence);
    }
    if (expired > 0) {
      this.openGrants = this.openGrants.slice(expired);
    }
  }

  private distribute(nowMs: number): BucketOutput[] {
    const outputs: BucketOutput[] = [];
    if (nowMs >= this.getEndMs()) {
      return outputs;
    }
    for (let next = this.queued.peekUrgent(nowMs); next !== undefined;) {
      const amount = this.getUrgentAmount(next.request);
      if (amount === 0) {
        this.recall(nowMs, outputs);
        return outputs;
      }
      outputs.push(this.grant(next, amount, nowMs));
      next = this.queued.peekUrgent(nowMs);
    }
    this.distributePrefetch(nowMs, outputs);
    return outputs;
  }

  private distributePrefetch(nowMs: number, outputs: BucketOutput[]): void {
    for (let spare = this.getPrefetchable(); spare > 0; spare = this.getPrefetchable()) {
      const next = this.queued.peekPrefetch(nowMs);
      if (next === undefined) {
        return;
      }
      outputs.push(this.grant(next, Math.min(next.request.wanted, spare), nowMs));
    }
  }

  private getUrgentAmount(request: TokenRequest): number {
    const available = this.pool.getWholeTokens();
    const contenders = this.queued.urgentCount;
    const batch = Math.floor((this.limit.rate * GRANT_BATCH_MS) / 1000);
    const minimum = Math.max(request.head, Math.min(request.urgent, batch, this.limit.burst / 2));
    if (available < minimum) {
      return 0;
    }
    const fairShare = Math.max(Math.floor(minimum), Math.floor(available / contenders));
    const amount = Math.min(request.urgent, fairShare);
    if (contenders > 1 || amount < request.urgent) {
      return amount;
    }
    const prefetch = Math.min(request.wanted - amount, Math.floor((available - amount) / 2));
    return amount + Math.max(0, prefetch);
  }

  private getPrefetchable(): number {
    return Math.floor(this.pool.getWholeTokens() / 2);
  }

  private grant(queued: QueuedRequest, amount: number, nowMs: number): BucketOutput {
    const { request, receivedMs } = queued;
    const ledger = this.getLedger(request, nowMs);
    this.queued.remove(request);
    this.pool.grant(amount);
    ledger.grants.set(request.sequence, amount);
    this.unsettledGrantCount += 1;
    const endsMs = Math.min(nowMs + GRANT_EXPIRY_MS, this.getEndMs());
    this.openGrants.push({ ledger, sequence: request.sequence, endsMs });
    return this.send(ledger, {
      kind: TokenMessageKind.Grant,
      account: this.account,
      lease: this.lease,
      sequence: request.sequence,
      amount,
      validityMs: this.getGrantValidityMs(receivedMs),
      heldMs: nowMs - receivedMs,
      available: this.pool.getWholeTokens(),
      contended: this.totalDemand > this.limit.rate,
      starting: this.isStarting(nowMs),
      share: this.getShare(ledger),
    });
  }

  /**
   * Whether the bucket is still filling after its start; few available tokens then do not show how
   * much of the rate is in use.
   */
  private isStarting(nowMs: number): boolean {
    const { rate, burst } = this.limit;
    return nowMs - this.startedMs < Math.min(MAXIMUM_STARTING_MS, (burst / rate) * 1000);
  }

  private getShare(ledger: EntryLedger): number {
    const equalShare = this.limit.rate / (1 + this.queued.urgentCount);
    return Math.max(equalShare, this.limit.rate - (this.totalDemand - ledger.demand));
  }

  /** Recalls the stock of entry daemons at which no request waits. */
  private recall(nowMs: number, outputs: BucketOutput[]): void {
    if (nowMs - this.lastRecallMs < RECALL_INTERVAL_MS) {
      return;
    }
    this.lastRecallMs = nowMs;
    for (const ledger of this.ledgers.values()) {
      if (ledger.grants.size > 0 && !this.queued.isUrgent(ledger.key)) {
        const { account, lease } = this;
        outputs.push(this.send(ledger, { kind: TokenMessageKind.Recall, account, lease }));
      }
    }
  }

  private send(ledger: EntryLedger, message: MessageToEntry): BucketOutput {
    return { kind: LimiterOutputKind.Send, to: ledger.entry, message };
  }

  private removeIdleLedgers(nowMs: number): void {
    if (nowMs - this.lastLedgerCleanupMs < LEDGER_RETENTION_MS / 10) {
      return;
    }
    this.lastLedgerCleanupMs = nowMs;
    for (const [key, ledger] of this.ledgers) {
      if (ledger.grants.size === 0 && nowMs - ledger.lastSeenMs > LEDGER_RETENTION_MS) {
        this.totalDemand -= ledger.demand;
        this.ledgers.delete(key);
      }
    }
  }
}
