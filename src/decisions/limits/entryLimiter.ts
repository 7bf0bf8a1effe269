import { Diagnostics } from '../../common/diagnostics/index.js';
import type { AccountId, HostId, Incarnation, RequestId } from '../../common/ids/index.js';
import { BinaryHeap } from '../queue/binaryHeap.js';
import type { AccountLimit } from './accountLimit.js';
import type { AdmissionCounts } from './admissionCounts.js';
import type { AdmissionRequest } from './admissionRequest.js';
import { AccountLimiter } from './accountLimiter.js';
import { type EntryOutput, LimiterOutputKind } from './limiterOutput.js';
import { INITIAL_ROUND_TRIP_MS } from './limitTiming.js';
import type { AccountHolder } from './tokenExchange.js';
import type { MessageToEntry } from './tokenMessage.js';
import { TokenMessageKind } from './tokenMessageKind.js';
import type { WaitingRequest } from './waitingRequest.js';

/**
 * Admission control at one entry daemon. A request is admitted when the daemon holds enough tokens
 * of its client account; otherwise it waits for them as long as its deadline allows. A request
 * waits if the outputs of `request` contain neither `Admit` nor `Refuse` for it.
 */
export class EntryLimiter {
  private readonly accounts = new Map<AccountId, AccountLimiter>();
  private readonly holders = new Map<AccountId, AccountHolder>();
  private readonly active = new Set<AccountLimiter>();
  private readonly waiting = new Map<RequestId, WaitingRequest>();
  private readonly deadlines = new BinaryHeap<WaitingRequest>(
    (left, right) => left.latestMs < right.latestMs,
  );

  constructor(
    private readonly entry: HostId,
    private readonly incarnation: Incarnation,
  ) {}

  /** Sets an account's rate and burst; undefined removes it and refuses its waiting requests. */
  setLimit(account: AccountId, limit: AccountLimit | undefined): EntryOutput[] {
    const outputs: EntryOutput[] = [];
    const known = this.accounts.get(account);
    if (limit === undefined) {
      known?.refuseAll(outputs);
      this.accounts.delete(account);
    } else if (known !== undefined) {
      known.setLimit(limit);
    } else {
      const created = this.createAccount(account, limit);
      created.setHolder(this.holders.get(account), 0, []);
      this.accounts.set(account, created);
    }
    return this.removeDone(outputs);
  }

  /** Sets an account's holder; undefined while the account moves to another holder. */
  setHolder(account: AccountId, holder: AccountHolder | undefined, nowMs: number): EntryOutput[] {
    const outputs: EntryOutput[] = [];
    if (holder === undefined) {
      this.holders.delete(account);
    } else {
      this.holders.set(account, holder);
    }
    this.accounts.get(account)?.setHolder(holder, nowMs, outputs);
    return outputs;
  }

  /** Admits or refuses a request, or queues it until tokens arrive. */
  request(request: AdmissionRequest, nowMs: number): EntryOutput[] {
    const account = this.accounts.get(request.account);
    if (account === undefined) {
      return [createUnknownAccountRefusal(request)];
    }
    const outputs: EntryOutput[] = [];
    this.active.add(account);
    const waiting = account.request(request, nowMs, outputs);
    if (waiting !== undefined) {
      this.waiting.set(request.requestId, waiting);
      this.deadlines.push(waiting);
    }
    return this.removeDone(outputs);
  }

  /** Removes a waiting request; tokens requested for it go to the next one. */
  cancel(requestId: RequestId): void {
    const waiting = this.waiting.get(requestId);
    if (waiting?.isDone === false) {
      this.accounts.get(waiting.request.account)?.removeWaiting(waiting);
    }
    this.waiting.delete(requestId);
  }

  /** Handles a message from an account's holder. */
  receive(message: MessageToEntry, nowMs: number): EntryOutput[] {
    const outputs: EntryOutput[] = [];
    const account = this.accounts.get(message.account);
    if (account !== undefined) {
      this.active.add(account);
      if (message.kind === TokenMessageKind.Grant) {
        account.receiveGrant(message, nowMs, outputs);
      } else {
        account.receiveRecall(nowMs, outputs);
      }
    }
    return this.removeDone(outputs);
  }

  /**
   * Refuses overdue requests, requests tokens from holders and returns unused tokens; must run every
   * few milliseconds.
   */
  tick(nowMs: number): EntryOutput[] {
    const outputs: EntryOutput[] = [];
    this.expireWaiting(nowMs, outputs);
    for (const account of this.active) {
      account.tick(nowMs, outputs);
      if (account.isIdle(nowMs)) {
        this.active.delete(account);
      }
    }
    return this.removeDone(outputs);
  }

  /** Returns the admission counters of an account; undefined for an unknown account. */
  getCounts(account: AccountId): AdmissionCounts | undefined {
    return this.accounts.get(account)?.counts;
  }

  /** Returns the unexpired tokens of an account in stock at this daemon. */
  getStock(account: AccountId, nowMs: number): number {
    return this.accounts.get(account)?.getStock(nowMs) ?? 0;
  }

  /** Number of requests that wait for tokens. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Creates the limiter of one account. */
  protected createAccount(account: AccountId, limit: AccountLimit): AccountLimiter {
    return new AccountLimiter(account, this.entry, this.incarnation, limit);
  }

  private expireWaiting(nowMs: number, outputs: EntryOutput[]): void {
    for (let next = this.deadlines.peek(); next !== undefined; next = this.deadlines.peek()) {
      if (!next.isDone && next.latestMs > nowMs) {
        return;
      }
      this.deadlines.pop();
      if (!next.isDone) {
        this.accounts.get(next.request.account)?.expireRequest(next, nowMs, outputs);
      }
    }
  }

  private removeDone(outputs: EntryOutput[]): EntryOutput[] {
    for (const output of outputs) {
      if (output.kind !== LimiterOutputKind.Send) {
        this.waiting.delete(output.requestId);
      }
    }
    return outputs;
  }
}

function createUnknownAccountRefusal(request: AdmissionRequest): EntryOutput {
  return {
    kind: LimiterOutputKind.Refuse,
    requestId: request.requestId,
    account: request.account,
    diagnostic: Diagnostics.AccountWithoutLimit,
    values: { account: request.account },
    retryAfterMs: INITIAL_ROUND_TRIP_MS,
  };
}
