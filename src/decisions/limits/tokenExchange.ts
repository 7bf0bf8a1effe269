import type { AccountId, HostId, Incarnation, LeaseId } from '../../common/ids/index.js';
import {
  GRANT_EXPIRY_MS,
  INITIAL_ROUND_TRIP_MS,
  REQUEST_TIMEOUT_MS,
  REQUEST_RETRY_MS,
} from './limitTiming.js';
import type { Settlement } from './settlement.js';
import type { TokenGrant } from './tokenGrant.js';
import type { MessageToHolder } from './tokenMessage.js';
import { TokenMessageKind } from './tokenMessageKind.js';

const ROUND_TRIP_WEIGHT = 0.2;

/** The daemon that holds an account. */
export interface AccountHolder {
  readonly host: HostId;
  readonly lease: LeaseId;
}

/** Token amounts that an entry daemon requests; see `TokenRequest`. */
export interface TokenNeed {
  readonly head: number;
  readonly urgent: number;
  readonly wanted: number;
  readonly demand: number;
}

interface PendingRequest {
  readonly sequence: number;
  readonly sentMs: number;
  readonly urgent: number;
}

interface UnreportedSettlement extends Settlement {
  readonly closedMs: number;
  /** Whether a message has carried the settlement. */
  wasSent: boolean;
  /** Sequence of the first request that carried the settlement; its grant acknowledges it. */
  sentWith: number | undefined;
}

/** Token exchange of one account with its holder: at most one request is unanswered at a time. */
export class TokenExchange {
  private holder: AccountHolder | undefined;
  private pending: PendingRequest | undefined;
  private settlements: UnreportedSettlement[] = [];
  private lastSequence = 0;
  private roundTripMs = INITIAL_ROUND_TRIP_MS;
  private retryMs = REQUEST_RETRY_MS;

  constructor(
    private readonly account: AccountId,
    private readonly entry: HostId,
    private readonly incarnation: Incarnation,
  ) {}

  getHolder(): AccountHolder | undefined {
    return this.holder;
  }

  getRoundTripMs(): number {
    return this.roundTripMs;
  }

  /** Whether a closed grant has not been reported yet. */
  get hasUnreportedSettlements(): boolean {
    return this.settlements.some((settlement) => !settlement.wasSent);
  }

  /** Whether a request is unanswered. */
  get isAwaitingGrant(): boolean {
    return this.pending !== undefined;
  }

  /** Switches to another holder; grants of the previous one stay usable until they expire. */
  setHolder(holder: AccountHolder | undefined): void {
    if (holder?.lease === this.holder?.lease && holder?.host === this.holder?.host) {
      return;
    }
    this.holder = holder;
    this.pending = undefined;
    this.settlements = [];
    this.retryMs = REQUEST_RETRY_MS;
  }

  /** Records closed grants to report to the holder. */
  recordSettlements(settled: readonly Settlement[], nowMs: number): void {
    for (const settlement of settled) {
      this.settlements.push({
        ...settlement,
        closedMs: nowMs,
        wasSent: false,
        sentWith: undefined,
      });
    }
  }

  /** Drops settlements of grants that the holder has closed by itself. */
  dropExpiredSettlements(nowMs: number): void {
    if (this.settlements.length > 0) {
      this.settlements = this.settlements.filter(
        (settlement) => nowMs - settlement.closedMs < GRANT_EXPIRY_MS,
      );
    }
  }

  /**
   * Whether a request may be sent now: none is unanswered, the unanswered one has timed out, or it
   * only prefetches while callers wait now.
   */
  canRequest(urgent: number, nowMs: number): boolean {
    if (this.holder === undefined) {
      return false;
    }
    if (this.pending === undefined || nowMs - this.pending.sentMs >= this.retryMs) {
      return true;
    }
    return urgent > 0 && this.pending.urgent === 0;
  }

  /** Creates a request, undefined without a holder; an unanswered earlier request is abandoned. */
  createRequest(need: TokenNeed, nowMs: number): MessageToHolder | undefined {
    if (this.holder === undefined) {
      return undefined;
    }
    if (this.pending !== undefined) {
      this.recordSettlements([{ sequence: this.pending.sequence, used: 0 }], nowMs);
      this.retryMs = Math.min(2 * this.retryMs, REQUEST_TIMEOUT_MS);
    }
    this.lastSequence += 1;
    const sequence = this.lastSequence;
    this.pending = { sequence, sentMs: nowMs, urgent: need.urgent };
    const settled = this.collectSettlements(sequence, nowMs);
    return { kind: TokenMessageKind.Request, ...this.getHeader(), sequence, ...need, settled };
  }

  /** Creates a message that only reports closed grants; undefined without a holder. */
  createReturn(nowMs: number): MessageToHolder | undefined {
    if (this.holder === undefined) {
      return undefined;
    }
    const settled = this.collectSettlements(undefined, nowMs);
    return { kind: TokenMessageKind.Return, ...this.getHeader(), settled };
  }

  /**
   * Accepts the grant for the unanswered request and returns its expiry; undefined for a grant that
   * is out of date, repeated or of another lease.
   */
  accept(grant: TokenGrant, nowMs: number): number | undefined {
    const pending = this.pending;
    if (pending?.sequence !== grant.sequence || grant.lease !== this.holder?.lease) {
      return undefined;
    }
    this.pending = undefined;
    this.settlements = this.settlements.filter(
      (settlement) => settlement.sentWith === undefined || settlement.sentWith > grant.sequence,
    );
    this.updateRoundTrip(Math.max(0, nowMs - pending.sentMs - grant.heldMs));
    return pending.sentMs + grant.validityMs;
  }

  private updateRoundTrip(roundTripMs: number): void {
    this.roundTripMs += (roundTripMs - this.roundTripMs) * ROUND_TRIP_WEIGHT;
    this.retryMs = Math.min(REQUEST_TIMEOUT_MS, Math.max(REQUEST_RETRY_MS, 3 * roundTripMs));
  }

  private collectSettlements(sequence: number | undefined, nowMs: number): Settlement[] {
    this.dropExpiredSettlements(nowMs);
    return this.settlements.map((settlement) => {
      settlement.wasSent = true;
      settlement.sentWith ??= sequence;
      return { sequence: settlement.sequence, used: settlement.used };
    });
  }

  private getHeader() {
    const lease = this.holder?.lease ?? ('' as LeaseId);
    return { account: this.account, entry: this.entry, incarnation: this.incarnation, lease };
  }
}
