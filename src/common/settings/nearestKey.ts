const MAXIMUM_DISTANCE = 3;

/** Returns the known key closest to a mistyped one, or undefined if none is close enough. */
export function findNearestKey(key: string, known: readonly string[]): string | undefined {
  let nearest: string | undefined;
  let leastDistance = Math.min(MAXIMUM_DISTANCE, Math.ceil(key.length / 2)) + 1;
  for (const candidate of known) {
    const distance = getEditDistance(key, candidate, leastDistance);
    if (distance < leastDistance) {
      leastDistance = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

/** Returns the Levenshtein distance, or `bound` if the distance is at least that. */
function getEditDistance(left: string, right: string, bound: number): number {
  if (Math.abs(left.length - right.length) >= bound) {
    return bound;
  }
  let row = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let i = 0; i < left.length; i += 1) {
    const next = [i + 1];
    for (let j = 0; j < right.length; j += 1) {
      const substitution = (row[j] ?? 0) + (left[i] === right[j] ? 0 : 1);
      next.push(Math.min(substitution, (row[j + 1] ?? 0) + 1, (next[j] ?? 0) + 1));
    }
    row = next;
  }
  return Math.min(bound, row.at(-1) ?? bound);
}
