import type { AccountId, HostId, Incarnation, LeaseId } from '../../common/ids/index.js';
import {
  GRANT_SETTLED_MS,
  INITIAL_ROUND_TRIP_MS,
  REQUEST_PARKED_MS,
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

/** What an entry daemon asks for. */
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
  /** Some message has carried it. */
  wasSent: boolean;
  /** The first request that carried it; its grant acknowledges the settlement. */
  sentWith: number | undefined;
}

/** One account's exchange with its holder: at most one request is unanswered at a time. */
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

  /** Some closed grant has not been reported yet. */
  get hasUnreportedSettlements(): boolean {
    return this.settlements.some((settlement) => !settlement.wasSent);
  }

  /** A request awaits its answer. */
  get isAwaitingGrant(): boolean {
    return this.pending !== undefined;
  }

  /** Turns to another holder; what the earlier one granted stays usable until it expires. */
  setHolder(holder: AccountHolder | undefined): void {
    if (holder?.lease === this.holder?.lease && holder?.host === this.holder?.host) {
      return;
    }
    this.holder = holder;
    this.pending = undefined;
    this.settlements = [];
    this.retryMs = REQUEST_RETRY_MS;
  }

  /** Notes closed grants for the holder. */
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

  /** Whether a request may be sent now: none is unanswered, or the unanswered one is outdated. */
  canRequest(urgent: number, nowMs: number): boolean {
    if (this.holder === undefined) {
      return false;
    }
    if (this.pending === undefined || nowMs - this.pending.sentMs >= this.retryMs) {
      return true;
    }
    return urgent > 0 && this.pending.urgent === 0;
  }

  /** Creates a request; the one sent before it, if unanswered, counts as abandoned. */
  createRequest(need: TokenNeed, nowMs: number): MessageToHolder | undefined {
    if (this.holder === undefined) {
      return undefined;
    }
    if (this.pending !== undefined) {
      this.recordSettlements([{ sequence: this.pending.sequence, used: 0 }], nowMs);
      this.retryMs = Math.min(2 * this.retryMs, REQUEST_PARKED_MS);
    }
    this.lastSequence += 1;
    const sequence = this.lastSequence;
    this.pending = { sequence, sentMs: nowMs, urgent: need.urgent };
    const settled = this.collectSettlements(sequence, nowMs);
    return { kind: TokenMessageKind.Request, ...this.getHeader(), sequence, ...need, settled };
  }

  /** Creates a message that only reports closed grants. */
  createReturn(nowMs: number): MessageToHolder | undefined {
    if (this.holder === undefined) {
      return undefined;
    }
    const settled = this.collectSettlements(undefined, nowMs);
    return { kind: TokenMessageKind.Return, ...this.getHeader(), settled };
  }

  /**
   * Accepts the answer to the unanswered request and returns when it expires; undefined for a
   * late, repeated or foreign grant.
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
    this.retryMs = Math.min(REQUEST_PARKED_MS, Math.max(REQUEST_RETRY_MS, 3 * roundTripMs));
  }

  private collectSettlements(sequence: number | undefined, nowMs: number): Settlement[] {
    this.settlements = this.settlements.filter(
      (settlement) => nowMs - settlement.closedMs < GRANT_SETTLED_MS,
    );
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
