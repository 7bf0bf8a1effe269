import { assertInvariant } from '../../common/diagnostics/index.js';
import type { FailureDomain } from '../../common/ids/index.js';
import type { RandomSource } from '../../common/random.js';
import type { InstanceView } from './instanceView.js';
import { selectByShare } from './localPreference.js';
import type { RemoteShare } from './remoteShare.js';
import { getExpectedDelay, ReplicaPolicy } from './replicaPolicy.js';

/** Selects an instance uniformly at random. */
export class RandomReplica extends ReplicaPolicy {
  override choose(
    eligible: readonly InstanceView[],
    _domain: FailureDomain,
    random: RandomSource,
  ): InstanceView {
    return pick(eligible, random);
  }
}

/** Selects the instance with the smallest expected delay. */
export class LeastDelayReplica extends ReplicaPolicy {
  override choose(eligible: readonly InstanceView[]): InstanceView {
    return eligible.reduce((best, view) => getFaster(best, view));
  }
}

/** Selects the faster of two random instances. */
export class TwoChoicesReplica extends ReplicaPolicy {
  override choose(
    eligible: readonly InstanceView[],
    _domain: FailureDomain,
    random: RandomSource,
  ): InstanceView {
    return getFaster(pick(eligible, random), pick(eligible, random));
  }
}

/**
 * Prefers the holder's failure domain, unless a delay elsewhere is smaller by `remotePenaltyMs`. With
 * a remote share, each read is given to the own failure domain or, for that share, to the others,
 * and the penalty does not matter.
 */
export class NearReplica extends ReplicaPolicy {
  constructor(
    private readonly remotePenaltyMs: number,
    private readonly share?: RemoteShare,
  ) {
    super();
  }

  override choose(
    all: readonly InstanceView[],
    domain: FailureDomain,
    random: RandomSource,
  ): InstanceView {
    const { share } = this;
    const eligible = share === undefined ? all : selectByShare(all, domain, share.value, random);
    let best: InstanceView | undefined;
    let bestDelayMs = Number.POSITIVE_INFINITY;
    for (const view of eligible) {
      const penaltyMs = view.domain === domain ? 0 : this.remotePenaltyMs;
      const delayMs = getExpectedDelay(view) + penaltyMs;
      if (best === undefined || delayMs < bestDelayMs) {
        best = view;
        bestDelayMs = delayMs;
      }
    }
    assertInvariant(best !== undefined, 'a replica policy is given at least one instance');
    return best;
  }
}

function pick(eligible: readonly InstanceView[], random: RandomSource): InstanceView {
  const view = eligible[Math.floor(random.next() * eligible.length)];
  assertInvariant(view !== undefined, 'a replica policy is given at least one instance');
  return view;
}

function getFaster(left: InstanceView, right: InstanceView): InstanceView {
  return getExpectedDelay(right) < getExpectedDelay(left) ? right : left;
}
