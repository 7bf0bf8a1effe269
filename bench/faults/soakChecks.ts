import type { LineGroup } from '../../standin/lines/index.js';
import type { BackendWatch } from './backendWatch.js';
import type { CallerLedger } from './callerLedger.js';
import { WriteFate, type SoakClient } from './soakClient.js';

/** A domain that was out: from when nothing may be sent there, until it was taken back. */
export interface DomainAbsence {
  readonly domain: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Compares what callers were told with the log of the primary. */
export function findWrongWrites(
  group: LineGroup,
  clients: readonly SoakClient[],
): readonly string[] {
  const log = group.primary?.log ?? [];
  const times = new Map<string, number>();
  for (const [item, data] of log.flatMap(({ changes }) => changes)) {
    times.set(`${item} ${data}`, (times.get(`${item} ${data}`) ?? 0) + 1);
  }
  const wrong = clients.flatMap(({ plan: { item }, writes }) =>
    writes.flatMap(({ count, fate }) => {
      const found = times.get(`${item} ${count}`) ?? 0;
      const isWrong =
        found > 1 ||
        (fate === WriteFate.Acknowledged && found === 0) ||
        (fate === WriteFate.NotRun && found > 0);
      return isWrong ? [`${item}: write ${count} was ${fate}, found ${found} times`] : [];
    }),
  );
  const halves = log.filter(
    ({ changes }) =>
      changes.length > 2 ||
      changes.some(
        ([item, data]) =>
          item.endsWith('-twin') &&
          !changes.some((other) => `${other[0]}-twin ${other[1]}` === `${item} ${data}`),
      ),
  );
  const parts = halves.map(({ term, number }) => `commit ${term}.${number} isn't one transaction`);
  const { lostCommits } = group;
  const lost =
    lostCommits > 0 ? [`${lostCommits} commits acknowledged by a primary were lost`] : [];
  return [...wrong, ...parts, ...lost];
}

/** Requests that an instance got though its failure domain was out. */
export function findRequestsInDomains(
  absences: readonly DomainAbsence[],
  watch: BackendWatch,
  ledger: CallerLedger,
  isCalm: (fromMs: number, toMs: number) => boolean,
): readonly string[] {
  return absences.flatMap(({ domain, fromMs, toMs }) =>
    [...watch.seen.values()]
      .filter(({ id, domain: seenIn, atMs }) => {
        const { sentMs = 0 } = ledger.requests.get(id) ?? {};
        return seenIn === domain && sentMs >= fromMs && atMs < toMs && isCalm(fromMs, atMs);
      })
      .map(({ id }) => `${id} reached ${domain}, which was out`),
  );
}
