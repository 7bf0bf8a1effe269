import { getLedgerKey } from './entryLedger.js';
import { REQUEST_TIMEOUT_MS } from './limitTiming.js';
import type { TokenRequest } from './tokenRequest.js';

/** A request that the holder has not answered yet. */
export interface QueuedRequest {
  readonly request: TokenRequest;
  readonly receivedMs: number;
}

/** Unanswered requests at a holder: at most one per incarnation of an entry daemon. */
export class QueuedRequests {
  private readonly urgent = new Map<string, QueuedRequest>();
  private readonly prefetch = new Map<string, QueuedRequest>();

  /** Number of entry daemons at which callers wait for tokens. */
  get urgentCount(): number {
    return this.urgent.size;
  }

  /** Whether callers wait for tokens at the entry daemon with this ledger key. */
  isUrgent(key: string): boolean {
    return this.urgent.has(key);
  }

  /**
   * Replaces the sender's earlier request; an urgent sender that stays urgent keeps its position.
   */
  add(request: TokenRequest, nowMs: number): void {
    const key = getLedgerKey(request.entry, request.incarnation);
    const isUrgent = request.urgent > 0;
    (isUrgent ? this.prefetch : this.urgent).delete(key);
    (isUrgent ? this.urgent : this.prefetch).set(key, { request, receivedMs: nowMs });
  }

  /** Removes an answered request. */
  remove(request: TokenRequest): void {
    const key = getLedgerKey(request.entry, request.incarnation);
    this.urgent.delete(key);
    this.prefetch.delete(key);
  }

  /** Returns the first request for which callers wait. */
  peekUrgent(nowMs: number): QueuedRequest | undefined {
    return this.peek(this.urgent, nowMs);
  }

  /** Returns the first request that only prefetches. */
  peekPrefetch(nowMs: number): QueuedRequest | undefined {
    return this.peek(this.prefetch, nowMs);
  }

  /** Drops requests that their senders have abandoned and returns the first remaining one. */
  private peek(requests: Map<string, QueuedRequest>, nowMs: number): QueuedRequest | undefined {
    for (const [key, first] of requests) {
      if (nowMs - first.receivedMs <= REQUEST_TIMEOUT_MS) {
        return first;
      }
      requests.delete(key);
    }
    return undefined;
  }
}
