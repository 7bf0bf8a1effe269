import { DecayingMean } from './decayingMean.js';

/** Latency of an instance of which nothing is known, in milliseconds. */
const INITIAL_MS = 1;
/** Weight of one statement in the moving average. */
const MOVING_WEIGHT = 0.1;
const TIME_CONSTANT_MS = 1000;
/** Time without an answer after which the recent latency is forgotten. */
const FORGET_MS = 3000;

/** Average time that a statement takes on an instance. */
export abstract class InstanceLatency {
  /** Adds the time that a statement took, in milliseconds. */
  abstract record(serviceMs: number, nowMs: number): void;
  /** Returns the average in milliseconds; undefined if it is not known. */
  abstract getMs(nowMs: number): number | undefined;
}

/** Moving average over the last statements, however long ago they were. */
export class MovingLatency extends InstanceLatency {
  private averageMs = INITIAL_MS;

  override record(serviceMs: number): void {
    this.averageMs += (serviceMs - this.averageMs) * MOVING_WEIGHT;
  }

  override getMs(): number {
    return this.averageMs;
  }
}

/**
 * Average over the last second or so, which is forgotten when nothing was answered for some seconds.
 * It addresses instances that were slow and then got no statements that would show their recovery.
 */
export class RecentLatency extends InstanceLatency {
  private readonly mean = new DecayingMean(TIME_CONSTANT_MS);

  override record(serviceMs: number, nowMs: number): void {
    this.mean.add(serviceMs, nowMs);
  }

  override getMs(nowMs: number): number | undefined {
    return nowMs - this.mean.updatedMs > FORGET_MS ? undefined : this.mean.value;
  }
}

/**
 * Returns the mean of the latencies that are known, in milliseconds: that of an instance whose
 * latency is not known, so that it is tried.
 */
export function getUsualLatencyMs(latencies: Iterable<InstanceLatency>, nowMs: number): number {
  let totalMs = 0;
  let known = 0;
  for (const latency of latencies) {
    const latencyMs = latency.getMs(nowMs);
    totalMs += latencyMs ?? 0;
    known += latencyMs === undefined ? 0 : 1;
  }
  return known === 0 ? INITIAL_MS : totalMs / known;
}
