/** Service time relative to the usual one from which an instance counts as slow. */
const SLOW_FACTOR = 2.5;
/** Relative service time below which it no longer counts as slow; averages of 20 requests vary. */
const RECOVERED_FACTOR = 1.5;
/** Bound of one request's relative service time, so that a single one does not count as slowness. */
const MAXIMUM_RATIO = 10;
/** Weight of a request in the recent averages, and least weight of one in the usual service time. */
const RECENT_WEIGHT = 0.1;
const USUAL_WEIGHT = 0.0002;
/** Number of requests of a class whose plain mean is the first usual service time. */
const FIRST_SAMPLES = 100;
const MINIMUM_SERVICE_MS = 0.5;
/** Number of requests after which the averages are used. */
const MINIMUM_SAMPLES = 20;
/** Bound of the number of statement classes with a usual service time. */
const MAXIMUM_CLASSES = 1024;
/** Time between two reductions, in which the effect of the last one shows, in milliseconds. */
const REDUCTION_INTERVAL_MS = 100;
/** Time after a change until one more request may run at once, in milliseconds. */
const INCREASE_INTERVAL_MS = 50;
/** Time without a result after which the averages are forgotten, in milliseconds. */
const QUIET_MS = 1000;
const REDUCTION = 0.7;
/** Share of the slots that a slow instance keeps: it still serves, if late. */
const SLOW_SHARE = 0.5;

/** Result of a request on an instance. */
export interface InstanceResult {
  readonly costClass: string;
  readonly serviceMs: number;
  /** Whether the instance did not run the request or the connection was lost. */
  readonly failed: boolean;
}

/** Options of an instance's concurrency. */
export interface AdaptiveConcurrencyOptions {
  readonly slots: number;
  /**
   * Whether other instances may run its requests. Where none can, a slow instance keeps its slots,
   * because fewer requests at once would only serve fewer.
   */
  readonly isReplaceable: boolean;
}

/** Mean service time of a statement class. */
interface UsualService {
  meanMs: number;
  samples: number;
}

/**
 * Number of requests that an instance may run at once. It falls by a factor while the instance fails
 * requests or is slow, and rises by one at a time afterwards; at least one request runs, so that a
 * recovery is noticed, and at most as many as there are slots. It addresses instances that answer
 * late or not at all, whose slots and connections would otherwise fill with requests.
 */
export class AdaptiveConcurrency {
  private readonly usual = new Map<string, UsualService>();
  private options: AdaptiveConcurrencyOptions;
  private current: number;
  private samples = 0;
  private failedShare = 0;
  private slowness = 1;
  private isSlow = false;
  private changedMs = 0;
  private recordedMs = 0;

  constructor(options: AdaptiveConcurrencyOptions) {
    this.options = options;
    this.current = options.slots;
  }

  /** Number of requests that may run at once. */
  get limit(): number {
    return Math.min(this.options.slots, Math.max(1, Math.floor(this.current)));
  }

  /** Changes the number of slots. */
  setSlots(slots: number): void {
    const isUnreduced = this.current >= this.options.slots;
    this.options = { ...this.options, slots };
    this.current = isUnreduced ? slots : Math.min(this.current, slots);
  }

  /** Changes whether other instances may run the requests. */
  setReplaceable(isReplaceable: boolean): void {
    this.options = { ...this.options, isReplaceable };
  }

  /** Records the result of a request. */
  record({ costClass, serviceMs, failed }: InstanceResult, nowMs: number): void {
    this.samples += 1;
    this.recordedMs = nowMs;
    this.failedShare += ((failed ? 1 : 0) - this.failedShare) * RECENT_WEIGHT;
    if (!failed) {
      this.recordService(costClass, serviceMs);
    }
    this.isSlow = this.slowness > (this.isSlow ? RECOVERED_FACTOR : SLOW_FACTOR);
    this.approach(this.samples < MINIMUM_SAMPLES ? 1 : this.getShare(), nowMs);
  }

  /** Raises the limit of an instance that has had no request for a while. */
  tick(nowMs: number): void {
    if (nowMs - this.recordedMs >= QUIET_MS) {
      this.samples = 0;
      this.failedShare = 0;
      this.slowness = 1;
      this.isSlow = false;
      this.approach(1, nowMs);
    }
  }

  private recordService(costClass: string, serviceMs: number): void {
    const usual = this.usual.get(costClass);
    if (usual === undefined) {
      if (this.usual.size < MAXIMUM_CLASSES) {
        this.usual.set(costClass, { meanMs: serviceMs, samples: 1 });
      }
      return;
    }
    const ratio = serviceMs / Math.max(MINIMUM_SERVICE_MS, usual.meanMs);
    this.slowness += (Math.min(MAXIMUM_RATIO, ratio) - this.slowness) * RECENT_WEIGHT;
    usual.samples += 1;
    const weight = usual.samples <= FIRST_SAMPLES ? 1 / usual.samples : USUAL_WEIGHT;
    usual.meanMs += (serviceMs - usual.meanMs) * weight;
  }

  /**
   * Returns the share of the slots to use. A request that fails is over soon, so the share falls
   * with the square of the failed share: an instance that fails a few requests serves the others.
   */
  private getShare(): number {
    const share = 1 - this.failedShare ** 2;
    return this.isSlow && this.options.isReplaceable ? Math.min(share, SLOW_SHARE) : share;
  }

  private approach(share: number, nowMs: number): void {
    const target = Math.max(1, Math.round(this.options.slots * share));
    const sinceChangeMs = nowMs - this.changedMs;
    if (this.current > target && sinceChangeMs >= REDUCTION_INTERVAL_MS) {
      this.current = Math.max(target, this.current * REDUCTION);
      this.changedMs = nowMs;
    } else if (this.current < target && sinceChangeMs >= INCREASE_INTERVAL_MS) {
      this.current = Math.min(target, Math.floor(this.current) + 1);
      this.changedMs = nowMs;
    }
  }
}
