import { DecayingMean } from './decayingMean.js';

/** Long beside the average of a reader, so that all readers are measured by the same mean. */
const TIME_CONSTANT_MS = 30_000;
/** Bound of the number of statement classes with a mean; further ones share one. */
const MAXIMUM_CLASSES = 256;
const SHARED_CLASS = '';
const MINIMUM_MS = 0.5;
/** Bound of one request's relative time, so that a single one does not outweigh all others. */
const MAXIMUM_RATIO = 10;
/** Least relative time of a request that was not served: the time in which it runs elsewhere. */
const UNSERVED_RATIO = 5;

/**
 * Mean response times of a group's readers by statement class. They make the times of different
 * classes comparable: a reader that happened to get expensive statements does not count as slow.
 */
export class UsualTimes {
  private readonly means = new Map<string, DecayingMean>();

  /**
   * Returns a response time as a multiple of the mean of its class, and adds it to that mean;
   * undefined for the first one of a class. A request that was not served does not change the mean.
   */
  measure(
    costClass: string,
    elapsedMs: number,
    isServed: boolean,
    nowMs: number,
  ): number | undefined {
    const mean = this.means.get(costClass) ?? this.add(costClass);
    const ratio = mean.hasSamples ? elapsedMs / Math.max(MINIMUM_MS, mean.value) : undefined;
    if (!isServed) {
      return Math.min(MAXIMUM_RATIO, Math.max(UNSERVED_RATIO, ratio ?? UNSERVED_RATIO));
    }
    mean.add(elapsedMs, nowMs);
    return ratio === undefined ? undefined : Math.min(MAXIMUM_RATIO, ratio);
  }

  private add(costClass: string): DecayingMean {
    const key = this.means.size < MAXIMUM_CLASSES ? costClass : SHARED_CLASS;
    let mean = this.means.get(key);
    if (mean === undefined) {
      mean = new DecayingMean(TIME_CONSTANT_MS);
      this.means.set(key, mean);
    }
    return mean;
  }
}
