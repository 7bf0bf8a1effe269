import type { FailureDomain } from '../../common/ids/index.js';
import type { RandomSource } from '../../common/random.js';

/**
 * Returns the candidates in the own failure domain or, for a share of the requests, those in others.
 * Each request is decided at random, so that hosts do not switch together. If either side is empty
 * the other one is returned.
 */
export function selectByShare<Candidate extends { readonly domain: FailureDomain }>(
  candidates: readonly Candidate[],
  own: FailureDomain,
  remoteShare: number,
  random: RandomSource,
): readonly Candidate[] {
  const near = candidates.filter(({ domain }) => domain === own);
  if (near.length === 0 || near.length === candidates.length) {
    return candidates;
  }
  const isRemote = remoteShare > 0 && random.next() < remoteShare;
  return isRemote ? candidates.filter(({ domain }) => domain !== own) : near;
}
