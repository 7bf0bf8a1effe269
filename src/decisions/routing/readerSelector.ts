import type { FailureDomain, InstanceId } from '../../common/ids/index.js';
import type { Holder } from '../control/holder.js';
import { POSITION_QUERY_INTERVAL_MS } from './positionFeed.js';
import type { ReadRequirement } from './readRequirement.js';

/** A reader that may run a read. */
export interface ReaderCandidate {
  readonly instance: InstanceId;
  /** Failure domain of the instance. */
  readonly domain: FailureDomain;
  readonly holder: Holder;
  /** It is this host. */
  readonly isOwn: boolean;
}

/** Requests under way by which a reader elsewhere may be less loaded and still not be taken. */
const REMOTE_PENALTY = 2;
/** The same for this host itself, which needs no message for it. */
const LOCAL_ADVANTAGE = 2;
/** Time for which a reader that did not answer, or could not be reached, is taken last. */
const SUSPICION_MS = 1000;
/**
 * Reads that want younger data go to the holder: positions are asked for that often, and half of the bound is
 * left to the way there and back.
 */
const MINIMUM_STALENESS_MS = 2 * POSITION_QUERY_INTERVAL_MS;

/**
 * Chooses among the readers of a group's replicas. Answers load that one link can't carry: reads spread over the
 * readers by this host's own requests under way, which is exact for what this host adds and grows on readers
 * that are slow or silent; near ones are preferred as far as they keep up.
 */
export class ReaderChoice {
  private readonly inFlight = new Map<InstanceId, number>();
  private readonly lastFailureMs = new Map<InstanceId, number>();
  private rotation = 0;

  constructor(private readonly domain: FailureDomain) {}

  /** Whether a reader can run a read at all. */
  static isReadable({ session, maximumStalenessMs, latest = false }: ReadRequirement): boolean {
    if (latest) {
      return false;
    }
    return maximumStalenessMs === undefined
      ? session !== undefined
      : maximumStalenessMs >= MINIMUM_STALENESS_MS;
  }

  /** The reader to take; undefined when there is none, or none that was heard of lately. */
  choose(candidates: readonly ReaderCandidate[], nowMs: number): ReaderCandidate | undefined {
    const trusted = candidates.filter(({ instance }) => !this.isSuspected(instance, nowMs));
    let best: ReaderCandidate | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    this.rotation += 1;
    for (let index = 0; index < trusted.length; index += 1) {
      // Readers that cost the same take turns.
      const candidate = trusted[(this.rotation + index) % trusted.length];
      const cost = candidate === undefined ? bestCost : this.getCost(candidate);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  /** A request was sent to the reader of an instance. */
  started(instance: InstanceId): void {
    this.inFlight.set(instance, this.getInFlight(instance) + 1);
  }

  /** The request ended, however it did. */
  ended(instance: InstanceId): void {
    const left = this.getInFlight(instance) - 1;
    if (left > 0) {
      this.inFlight.set(instance, left);
    } else {
      this.inFlight.delete(instance);
    }
  }

  /** The reader of an instance did not answer or could not be reached. */
  failed(instance: InstanceId, nowMs: number): void {
    this.lastFailureMs.set(instance, nowMs);
  }

  /** Requests of this host that the reader of an instance runs. */
  getInFlight(instance: InstanceId): number {
    return this.inFlight.get(instance) ?? 0;
  }

  private getCost({ instance, domain, isOwn }: ReaderCandidate): number {
    const place = isOwn ? -LOCAL_ADVANTAGE : domain === this.domain ? 0 : REMOTE_PENALTY;
    return this.getInFlight(instance) + place;
  }

  private isSuspected(instance: InstanceId, nowMs: number): boolean {
    const failedMs = this.lastFailureMs.get(instance);
    if (failedMs === undefined || nowMs - failedMs < SUSPICION_MS) {
      return failedMs !== undefined;
    }
    this.lastFailureMs.delete(instance);
    return false;
  }
}
