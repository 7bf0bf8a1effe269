import type { FailureDomain, InstanceId } from '../../common/ids/index.js';
import type { RandomSource } from '../../common/random.js';
import type { Holder } from '../control/holder.js';
import { POSITION_QUERY_INTERVAL_MS } from './positionFeed.js';
import { selectByShare } from './localPreference.js';
import { ReadResult } from './readResult.js';
import type { RemoteShare } from './remoteShare.js';
import type { ReadRequirement } from './readRequirement.js';

/** A reader that may run a read. */
export interface ReaderCandidate {
  readonly instance: InstanceId;
  /** Failure domain of the instance. */
  readonly domain: FailureDomain;
  readonly holder: Holder;
  /** Whether the reader runs on this host. */
  readonly isLocal: boolean;
  /** Whether the instance is cold, so that it starts few requests. */
  readonly isCold?: boolean;
  /** Start of the instance in Unix milliseconds, if announced. */
  readonly startedMs?: number | undefined;
}

/** Beginning of the exclusion of a slow reader. */
export interface ReaderExclusion {
  readonly instance: InstanceId;
  /** Average response time of the reader, relative to the median of the others. */
  readonly slowness: number;
  readonly lengthMs: number;
}

/** The share of reads that leave the own failure domain, with the source of its decisions. */
export interface ReaderSpread {
  readonly share: RemoteShare;
  readonly random: RandomSource;
}

/** In-flight requests by which a reader in another failure domain counts as more loaded. */
const REMOTE_PENALTY = 2;
/**
 * In-flight requests by which the reader on this host, which needs no message, counts as less
 * loaded.
 */
const LOCAL_ADVANTAGE = 2;
/** Time for which a reader that did not answer, or could not be reached, is not selected. */
const SUSPICION_MS = 1000;
/**
 * Smallest staleness bound of reads that a reader serves, in milliseconds. Reads with a smaller one
 * go to the holder: positions are queried at half of this interval, and the other half of the bound
 * is left for the round trip.
 */
export const MINIMUM_STALENESS_MS = 2 * POSITION_QUERY_INTERVAL_MS;

/**
 * Selects among the readers of a group's replicas, so that reads can exceed the capacity of a
 * single link. Reads are balanced by this host's own in-flight requests, a measure that is exact for
 * the load added by this host and grows for readers that are slow or unresponsive. Readers on this
 * host and in its failure domain are preferred until their in-flight requests exceed those of other
 * readers by more than `LOCAL_ADVANTAGE` and `REMOTE_PENALTY` allow. With a spread, each read is
 * first given to the own failure domain or, for the share of the spread, to the others.
 */
export class ReaderSelector {
  private readonly inFlight = new Map<InstanceId, number>();
  private readonly lastFailureMs = new Map<InstanceId, number>();
  private rotation = 0;

  constructor(
    protected readonly domain: FailureDomain,
    protected readonly spread?: ReaderSpread,
  ) {}

  /** Whether a reader can run a read with this requirement. */
  static isReadable({ session, maximumStalenessMs, latest = false }: ReadRequirement): boolean {
    if (latest) {
      return false;
    }
    return maximumStalenessMs === undefined
      ? session !== undefined
      : maximumStalenessMs >= MINIMUM_STALENESS_MS;
  }

  /** Returns the reader to use; undefined if there is none, or all have failed recently. */
  choose(candidates: readonly ReaderCandidate[], nowMs: number): ReaderCandidate | undefined {
    const answering = candidates.filter(({ instance }) => !this.isSuspected(instance, nowMs));
    const warm = answering.filter(({ isCold }) => isCold !== true);
    const usable = warm.length > 0 ? warm : answering;
    const responsive = this.spread === undefined ? usable : this.select(usable, this.spread);
    let best: ReaderCandidate | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    this.rotation += 1;
    for (let index = 0; index < responsive.length; index += 1) {
      // Readers of equal cost are used in rotation.
      const candidate = responsive[(this.rotation + index) % responsive.length];
      const cost = candidate === undefined ? bestCost : this.getCost(candidate);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  /** Records that a request was sent to the reader of an instance. */
  recordStart(instance: InstanceId): void {
    this.inFlight.set(instance, this.getInFlight(instance) + 1);
  }

  /** Records that a request ended, with any outcome. */
  recordEnd(instance: InstanceId): void {
    const remaining = this.getInFlight(instance) - 1;
    if (remaining > 0) {
      this.inFlight.set(instance, remaining);
    } else {
      this.inFlight.delete(instance);
    }
  }

  /** Records that the reader of an instance did not answer or could not be reached. */
  recordFailure(instance: InstanceId, nowMs: number): void {
    this.lastFailureMs.set(instance, nowMs);
  }

  /**
   * Records how a request ended, and the milliseconds until then. Returns the exclusion that begins
   * with it; this selector excludes only readers that fail, each time for a second.
   */
  recordResult(
    { instance }: ReaderCandidate,
    _costClass: string,
    _elapsedMs: number,
    result: ReadResult,
    nowMs: number,
  ): ReaderExclusion | undefined {
    if (result === ReadResult.Lost || result === ReadResult.Unanswered) {
      this.recordFailure(instance, nowMs);
    }
    return undefined;
  }

  /** Returns the number of trials since the last call; this selector makes none. */
  takeTrials(): number {
    return 0;
  }

  /** Returns the number of this host's in-flight requests at the reader of an instance. */
  getInFlight(instance: InstanceId): number {
    return this.inFlight.get(instance) ?? 0;
  }

  private select(
    usable: readonly ReaderCandidate[],
    { share, random }: ReaderSpread,
  ): readonly ReaderCandidate[] {
    return selectByShare(usable, this.domain, share.value, random);
  }

  /** Returns the in-flight requests by which the place of a reader counts. */
  protected getAdjustment({ domain, isLocal }: ReaderCandidate): number {
    return isLocal ? -LOCAL_ADVANTAGE : domain === this.domain ? 0 : REMOTE_PENALTY;
  }

  private getCost(candidate: ReaderCandidate): number {
    return this.getInFlight(candidate.instance) + this.getAdjustment(candidate);
  }

  /** Whether the reader did not answer lately. */
  protected isSuspected(instance: InstanceId, nowMs: number): boolean {
    const failedMs = this.lastFailureMs.get(instance);
    if (failedMs === undefined || nowMs - failedMs < SUSPICION_MS) {
      return failedMs !== undefined;
    }
    this.lastFailureMs.delete(instance);
    return false;
  }
}
