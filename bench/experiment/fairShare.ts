/** What an account asks for and its weight. */
export interface ShareClaim {
  readonly weight: number;
  readonly demand: number;
}

/** Weighted max-min fair division: the smaller of each claim's demand and its fair share. */
export function getFairShares(claims: readonly ShareClaim[], capacity: number): number[] {
  const shares = claims.map((claim) => claim.demand);
  let open = claims.map((_, index) => index);
  let left = capacity;
  for (;;) {
    const weight = open.reduce((sum, index) => sum + (claims[index]?.weight ?? 0), 0);
    const level = left / weight;
    const satisfied = open.filter((index) => isSatisfied(claims[index], level));
    if (satisfied.length === 0 || open.length === 0) {
      for (const index of open) {
        shares[index] = level * (claims[index]?.weight ?? 0);
      }
      return shares;
    }
    for (const index of satisfied) {
      left -= claims[index]?.demand ?? 0;
    }
    open = open.filter((index) => !satisfied.includes(index));
  }
}

function isSatisfied(claim: ShareClaim | undefined, level: number): boolean {
  return claim !== undefined && claim.demand <= level * claim.weight;
}
