import type { RequestId } from '../../common/ids/index.js';
import { Fifo } from '../queue/fifo.js';
import { StartGate } from '../queue/startGate.js';
import type { WarmupLimits } from './warmupLimits.js';

const WINDOW_MS = 1000;
/**
 * Time for which a host that takes over leaves room for the former one: up to a second of overlap,
 * and the second after it, in which the former host's last requests still count.
 */
const TAKEOVER_MS = 2 * WINDOW_MS;
/** Part of the slack that may start at once after idle time; the rest is for handovers. */
const BURST_SHARE = 0.4;

/**
 * Paces the requests that one host starts on an instance while it is cold. Starts are spaced evenly
 * at the rate that the group asks for, after a small burst, and a sliding second never holds more
 * than the bound.
 *
 * A host that takes over an instance does not know what the former host sent in the last second, and
 * may overlap with it. It therefore begins without burst, and for `TAKEOVER_MS` stays under what the
 * bound leaves beside the former host's rate, and under half of the bound.
 *
 * A request counts from the time it obtains a slot until one second after it was sent, so that
 * waits for connections cannot gather sent requests within a second.
 */
export class StartPacer extends StartGate {
  private startsPerSecond = 0;
  private coldUntilMs = Number.NEGATIVE_INFINITY;
  private takeoverEndMs = Number.NEGATIVE_INFINITY;
  /** Time of the next start if none comes as a burst. */
  private spacedMs = 0;
  private lastMs = Number.NEGATIVE_INFINITY;
  /** Times at which requests were sent within the last second. */
  private readonly sentMs = new Fifo<number>();
  /** Requests that obtained a slot and were not sent yet. */
  private readonly unsent = new Set<RequestId>();

  constructor(private readonly limits: WarmupLimits) {
    super();
  }

  /**
   * Sets the rate while cold, 0 for none, and the time until which the instance is cold. A
   * cold period begins like a takeover.
   */
  setCold(startsPerSecond: number, coldUntilMs: number, timeMs: number): void {
    const nowMs = this.advance(timeMs);
    const wasCold = this.isCold(nowMs);
    const isOtherRate = startsPerSecond !== this.startsPerSecond;
    this.startsPerSecond = startsPerSecond;
    this.coldUntilMs = coldUntilMs;
    if (this.isCold(nowMs) && (!wasCold || isOtherRate)) {
      this.takeoverEndMs = nowMs + TAKEOVER_MS;
      this.spacedMs = nowMs + this.getSpacingMs(nowMs);
    }
  }

  /** Whether starts are paced now. */
  isCold(timeMs: number): boolean {
    return this.startsPerSecond > 0 && Math.max(timeMs, this.lastMs) < this.coldUntilMs;
  }

  override mayStart(timeMs: number): boolean {
    return this.getWaitMs(0, timeMs) <= 0;
  }

  override recordStart(requestId: RequestId, timeMs: number): void {
    const nowMs = this.advance(timeMs);
    if (this.isCold(nowMs)) {
      this.unsent.add(requestId);
      this.charge(nowMs);
    }
  }

  /** Records that a request, or the next statement of an open transaction, was sent. */
  recordSent(requestId: RequestId, timeMs: number): void {
    const nowMs = this.advance(timeMs);
    const wasCharged = this.unsent.delete(requestId);
    if (this.isCold(nowMs)) {
      this.sentMs.push(nowMs);
      if (!wasCharged) {
        this.charge(nowMs);
      }
    }
  }

  /** Records that a request that obtained a slot will not be sent. */
  recordUnsent(requestId: RequestId): void {
    this.unsent.delete(requestId);
  }

  override getWaitMs(ahead: number, timeMs: number): number {
    const nowMs = this.advance(timeMs);
    if (!this.isCold(nowMs)) {
      return 0;
    }
    const spacedMs = this.spacedMs - this.getBurstMs(nowMs) - nowMs + this.getQueueMs(ahead, nowMs);
    const waitMs = Math.max(0, spacedMs, this.getWindowWaitMs(nowMs));
    return Math.min(waitMs, this.coldUntilMs - nowMs);
  }

  /** Most requests in any one second, from all hosts. */
  private get bound(): number {
    return this.startsPerSecond * this.limits.overshoot + this.limits.slack;
  }

  private get steadyRate(): number {
    return Math.min(this.startsPerSecond, this.bound);
  }

  /** Number of requests that may start ahead of the even spacing. */
  private get burst(): number {
    return Math.floor(this.limits.slack * BURST_SHARE);
  }

  private getBurstMs(nowMs: number): number {
    return this.isTakingOver(nowMs) ? 0 : (this.burst * WINDOW_MS) / this.steadyRate;
  }

  private isTakingOver(nowMs: number): boolean {
    return nowMs < this.takeoverEndMs;
  }

  /** Most requests of this host in a sliding second. */
  private getWindowLimit(nowMs: number): number {
    // Evenly spaced starts and a burst, with one more at the edge of the window.
    const usual = Math.min(this.bound, this.steadyRate + this.burst + 1);
    const limit = this.isTakingOver(nowMs) ? Math.min(this.bound / 2, this.bound - usual) : usual;
    return Math.floor(limit);
  }

  /** Time in which the pace lets that many requests start. */
  private getQueueMs(count: number, nowMs: number): number {
    const spacingMs = this.getSpacingMs(nowMs);
    const startMs = Math.max(nowMs, this.spacedMs);
    const slowMs = Math.max(0, this.takeoverEndMs - startMs);
    const slowCount = Math.min(count, slowMs / spacingMs);
    return slowCount * spacingMs + ((count - slowCount) * WINDOW_MS) / this.steadyRate;
  }

  private getSpacingMs(nowMs: number): number {
    const rate = this.isTakingOver(nowMs)
      ? Math.min(this.steadyRate, Math.max(0, this.getWindowLimit(nowMs)))
      : this.steadyRate;
    return rate <= 0 ? WINDOW_MS : WINDOW_MS / rate;
  }

  private getWindowWaitMs(nowMs: number): number {
    if (this.sentMs.size + this.unsent.size < this.getWindowLimit(nowMs)) {
      return 0;
    }
    const oldestMs = this.sentMs.peek();
    const leavesMs = oldestMs === undefined ? Infinity : oldestMs + WINDOW_MS - nowMs;
    const ownEndMs = this.isTakingOver(nowMs) ? this.takeoverEndMs - nowMs : Infinity;
    const waitMs = Math.min(leavesMs, ownEndMs);
    // Without a request that leaves the window, the ones that wait for connections decide.
    return Number.isFinite(waitMs) ? Math.max(1, waitMs) : this.getSpacingMs(nowMs);
  }

  private charge(nowMs: number): void {
    this.spacedMs = Math.max(this.spacedMs, nowMs) + this.getSpacingMs(nowMs);
  }

  /** Drops requests that have left the window; a clock that is set back does not move time. */
  private advance(timeMs: number): number {
    this.lastMs = Math.max(this.lastMs, timeMs);
    for (let oldest = this.sentMs.peek(); oldest !== undefined; oldest = this.sentMs.peek()) {
      if (this.lastMs - oldest <= WINDOW_MS) {
        break;
      }
      this.sentMs.shift();
    }
    return this.lastMs;
  }
}
