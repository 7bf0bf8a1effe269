import type { FailureDomain, InstanceId } from '../../common/ids/index.js';
import type { Holder } from '../control/holder.js';
import { QUESTION_INTERVAL_MS } from './positionFeed.js';
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
const OWN_ADVANTAGE = 2;
/** Time for which a reader that did not answer, or could not be reached, is taken last. */
const SUSPICION_MS = 1000;
/**
 * Reads that want younger data go to the holder: positions are asked for that often, and half of the bound is
 * left to the way there and back.
 */
const MINIMUM_STALENESS_MS = 2 * QUESTION_INTERVAL_MS;

/**
 * Chooses among the readers of a group's replicas. Answers load that one link can't carry: reads spread over the
 * readers by this host's own requests under way, which is exact for what this host adds and grows on readers
 * that are slow or silent; near ones are preferred as far as they keep up.
 */
export class ReaderChoice {
  private readonly underWay = new Map<InstanceId, number>();
  private readonly failedMs = new Map<InstanceId, number>();
  private turn = 0;

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
    this.turn += 1;
    for (let index = 0; index < trusted.length; index += 1) {
      // Readers that cost the same take turns.
      const candidate = trusted[(this.turn + index) % trusted.length];
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
    this.underWay.set(instance, this.getUnderWay(instance) + 1);
  }

  /** The request ended, however it did. */
  ended(instance: InstanceId): void {
    const left = this.getUnderWay(instance) - 1;
    if (left > 0) {
      this.underWay.set(instance, left);
    } else {
      this.underWay.delete(instance);
    }
  }

  /** The reader of an instance did not answer or could not be reached. */
  failed(instance: InstanceId, nowMs: number): void {
    this.failedMs.set(instance, nowMs);
  }

  /** Requests of this host that the reader of an instance runs. */
  getUnderWay(instance: InstanceId): number {
    return this.underWay.get(instance) ?? 0;
  }

  private getCost({ instance, domain, isOwn }: ReaderCandidate): number {
    const place = isOwn ? -OWN_ADVANTAGE : domain === this.domain ? 0 : REMOTE_PENALTY;
    return this.getUnderWay(instance) + place;
  }

  private isSuspected(instance: InstanceId, nowMs: number): boolean {
    const failedMs = this.failedMs.get(instance);
    if (failedMs === undefined || nowMs - failedMs < SUSPICION_MS) {
      return failedMs !== undefined;
    }
    this.failedMs.delete(instance);
    return false;
  }
}
