import { getLedgerKey } from './entryLedger.js';
import { REQUEST_PARKED_MS } from './limitTiming.js';
import type { TokenRequest } from './tokenRequest.js';

/** A request that the holder has not answered yet. */
export interface QueuedRequest {
  readonly request: TokenRequest;
  readonly receivedMs: number;
}

/** The unanswered requests at a holder: at most one of each life of an entry daemon. */
export class QueuedRequests {
  private readonly urgent = new Map<string, QueuedRequest>();
  private readonly prefetch = new Map<string, QueuedRequest>();

  /** Entry daemons with waiting requests. */
  get urgentCount(): number {
    return this.urgent.size;
  }

  /** Whether an entry daemon has waiting requests. */
  isUrgent(key: string): boolean {
    return this.urgent.has(key);
  }

  /** Replaces the sender's earlier request; an urgent one keeps its place. */
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

  /** The first request with waiting callers. */
  peekUrgent(nowMs: number): QueuedRequest | undefined {
    return this.peek(this.urgent, nowMs);
  }

  /** The first request for prefetching only. */
  peekPrefetch(nowMs: number): QueuedRequest | undefined {
    return this.peek(this.prefetch, nowMs);
  }

  /** Drops requests that their senders have given up, and returns the first other one. */
  private peek(parked: Map<string, QueuedRequest>, nowMs: number): QueuedRequest | undefined {
    for (const [key, first] of parked) {
      if (nowMs - first.receivedMs <= REQUEST_PARKED_MS) {
        return first;
      }
      parked.delete(key);
    }
    return undefined;
  }
}
