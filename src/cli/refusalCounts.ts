const REFUSED = /^filbertpoint_requests_refused_total\{account="([^"]*)",code="(FP\d+)"\} (\d+)/;

/** Refused requests of one client account with one diagnostic number. */
export interface RefusalCount {
  readonly account: string;
  readonly code: string;
  readonly count: number;
}

/** Sums the refusals of each account and number over the metrics pages of several daemons. */
export function sumRefusals(pages: readonly string[]): readonly RefusalCount[] {
  const sums = new Map<string, RefusalCount>();
  for (const line of pages.flatMap((page) => page.split('\n'))) {
    const [, account, code, count] = REFUSED.exec(line) ?? [];
    if (account !== undefined && code !== undefined) {
      const key = `${account} ${code}`;
      const sum = (sums.get(key)?.count ?? 0) + Number(count);
      sums.set(key, { account, code, count: sum });
    }
  }
  return [...sums.values()].sort((left, right) => right.count - left.count);
}
