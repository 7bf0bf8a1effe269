/** Constants of the share of requests that leave the own failure domain. */
export interface RemoteShareOptions {
  /**
   * Cost of serving a request in another failure domain, as a wait in milliseconds: the round trip
   * and what its bytes are worth.
   */
  readonly costMs: number;
  /** Largest rise and fall of the share in one second. */
  readonly riseStep: number;
  readonly fallStep: number;
  /**
   * Time constants of the average of the pressure while it rises and falls. They are longer than the
   * waves of demand that the fleet sees (11 and 15 s), so that the share does not follow each wave,
   * and longer while it falls, so that it stays near what the peaks need.
   */
  readonly riseMs: number;
  readonly fallMs: number;
}

/** Default constants, without the cost, which depends on the deployment. */
export const DEFAULT_REMOTE_SHARE: Omit<RemoteShareOptions, 'costMs'> = {
  riseStep: 0.05,
  fallStep: 0.05,
  riseMs: 30_000,
  fallMs: 60_000,
};

const WINDOW_MS = 1000;
const MS_PER_SECOND = 1000;
/** Number of local outcomes from which a window is judged. */
const MINIMUM_OUTCOMES = 8;
/** Length of a window that has fewer outcomes. */
const MAXIMUM_WINDOW_MS = 5000;
/** Largest share, so that the own failure domain is always measured. */
const MAXIMUM_SHARE = 0.9;
/** Difference between the shares of refused requests that counts, besides chance. */
const REFUSED_TOLERANCE = 0.02;
/** Standard errors within which a difference between shares of refused requests is chance. */
const REFUSED_DEVIATIONS = 2;
/** Part of the wait elsewhere by which the own one must be longer; waits of full queues vary. */
const WAIT_TOLERANCE = 0.25;
/** Gain, in multiples of the cost, at which the pressure is 1. */
const FULL_PRESSURE_COSTS = 4;
/** Pressures at which requests begin and cease to leave the own failure domain. */
const BEGIN_PRESSURE = 0.15;
const END_PRESSURE = 0.05;
/** Part of the weight that outcomes keep from one window to the next. */
const RETENTION = 0.7;
/** Largest share that is reached without knowing the waits elsewhere. */
const MAXIMUM_UNKNOWN_SHARE = 0.2;
/** Number of outcomes elsewhere, weighted, from which they are known. */
const KNOWN_OUTCOMES = 1;

/** Outcomes of requests, in which each window counts less than the next. */
class Outcomes {
  private served = 0;
  private refused = 0;
  private totalWaitMs = 0;

  get count(): number {
    return this.served + this.refused;
  }

  get meanWaitMs(): number {
    return this.served === 0 ? 0 : this.totalWaitMs / this.served;
  }

  get refusedShare(): number {
    return this.count === 0 ? 0 : this.refused / this.count;
  }

  addServed(waitMs: number): void {
    this.served += 1;
    this.totalWaitMs += waitMs;
  }

  addRefused(): void {
    this.refused += 1;
  }

  age(): void {
    this.served *= RETENTION;
    this.refused *= RETENTION;
    this.totalWaitMs *= RETENTION;
  }
}

/**
 * Share of the requests of one group from one failure domain that is served in others. It follows an
 * averaged pressure in small steps. The pressure is positive while requests in the own failure domain
 * wait longer than those elsewhere by more than the cost of a remote round trip, or are refused more
 * often. The share is proportional to the pressure instead of adding it up: an integrating share made
 * failure domains of equal load send each other requests in turn, and hosts drift apart.
 *
 * The waits are those in the queues of readers and instances, which all hosts of a failure domain
 * share, so that the hosts come to like shares without messages.
 */
export class RemoteShare {
  private share = 0;
  private windowMs: number | undefined;
  /** Averaged pressure to leave the own failure domain, from 0 to 1. */
  private pressure = 0;
  private ownInWindow = 0;
  private readonly own = new Outcomes();
  private readonly other = new Outcomes();

  constructor(private readonly options: RemoteShareOptions) {}

  /** Share of requests to serve in another failure domain, from 0 to below 1. */
  get value(): number {
    return this.share;
  }

  /** Records a request that was served after a wait in a queue. */
  recordServed(isOwn: boolean, waitMs: number, nowMs: number): void {
    this.advance(nowMs);
    this.ownInWindow += isOwn ? 1 : 0;
    (isOwn ? this.own : this.other).addServed(waitMs);
  }

  /** Records a request that was refused for lack of capacity. */
  recordRefused(isOwn: boolean, nowMs: number): void {
    this.advance(nowMs);
    this.ownInWindow += isOwn ? 1 : 0;
    (isOwn ? this.own : this.other).addRefused();
  }

  /** Ends the window if it is due. */
  advance(nowMs: number): void {
    this.windowMs ??= nowMs;
    const elapsedMs = nowMs - this.windowMs;
    const isDue = elapsedMs >= WINDOW_MS && this.ownInWindow >= MINIMUM_OUTCOMES;
    if (!isDue && elapsedMs < MAXIMUM_WINDOW_MS) {
      return;
    }
    this.judge(elapsedMs);
    this.windowMs = nowMs;
    this.ownInWindow = 0;
    this.own.age();
    this.other.age();
  }

  private judge(elapsedMs: number): void {
    const { own, other } = this;
    const { costMs, riseMs, fallMs } = this.options;
    const isOtherKnown = other.count >= KNOWN_OUTCOMES;
    const otherWaitMs = isOtherKnown ? other.meanWaitMs : 0;
    const gainMs = own.meanWaitMs - otherWaitMs * (1 + WAIT_TOLERANCE) - costMs;
    const excessRefused = this.getExcessRefused();
    // A request that leaves for failure domains that refuse some displaces another one there.
    const isOtherFull = isOtherKnown && other.refusedShare > REFUSED_TOLERANCE;
    const isUndecided = excessRefused === 0;
    const span = isUndecided ? gainMs / (costMs * FULL_PRESSURE_COSTS) : Math.sign(excessRefused);
    const target = isOtherFull ? -1 : span;
    const bounded = Math.max(-1, Math.min(1, target));
    const isSlow = bounded < this.pressure && !isOtherFull;
    const weight = 1 - Math.exp(-elapsedMs / (isSlow ? fallMs : riseMs));
    this.pressure = Math.max(0, this.pressure + (bounded - this.pressure) * weight);
    this.move(isOtherKnown, elapsedMs / MS_PER_SECOND);
  }

  /** Moves the share towards the pressure. */
  private move(isOtherKnown: boolean, seconds: number): void {
    const { riseStep, fallStep } = this.options;
    const { share, pressure } = this;
    const threshold = share > 0 ? END_PRESSURE : BEGIN_PRESSURE;
    const maximum = isOtherKnown ? MAXIMUM_SHARE : MAXIMUM_UNKNOWN_SHARE;
    const target = pressure < threshold ? 0 : Math.min(pressure, maximum);
    this.share =
      target > share
        ? Math.min(target, share + riseStep * seconds)
        : Math.max(target, share - fallStep * seconds);
  }

  /** Returns by how much more requests are refused near than elsewhere; 0 within chance. */
  private getExcessRefused(): number {
    const { own, other } = this;
    const excess = own.refusedShare - other.refusedShare;
    const total = own.count + other.count;
    const common =
      (own.refusedShare * own.count + other.refusedShare * other.count) / Math.max(1, total);
    const variance = common * (1 - common) * (1 / Math.max(1, own.count) + getInverse(other.count));
    const tolerance = Math.max(REFUSED_TOLERANCE, REFUSED_DEVIATIONS * Math.sqrt(variance));
    return Math.abs(excess) > tolerance ? excess : 0;
  }
}

function getInverse(count: number): number {
  return count < KNOWN_OUTCOMES ? 0 : 1 / count;
}
