import { WriteResult, type WriteEvent } from './writer.js';

/** What one run of a failure showed. */
export interface RunResult {
  readonly events: readonly WriteEvent[];
  /** When the failure began. */
  readonly beginMs: number;
  /** How often each id stands in the table afterwards. */
  readonly rows: ReadonlyMap<number, number>;
}

/** One line with the gaps, outcomes and violations of all runs of a failure. */
export function summarize(name: string, results: readonly RunResult[]): string {
  const gaps = results.map(getGapMs).sort((left, right) => left - right);
  const events = results.flatMap((result) => result.events);
  const count = (result: WriteResult): number =>
    events.filter((event) => event.result === result).length;
  const violations = results.flatMap(findViolations);
  const median = gaps[Math.floor(gaps.length / 2)] ?? 0;
  const codes = new Set(events.flatMap(({ code }) => code ?? []));
  return [
    name.padEnd(24),
    `runs ${results.length}`,
    `gap median ${median.toFixed(0)} ms worst ${(gaps.at(-1) ?? 0).toFixed(0)} ms`,
    `acknowledged ${count(WriteResult.Acknowledged)}`,
    `not run ${count(WriteResult.NotRun)}`,
    `unknown ${count(WriteResult.Unknown)}`,
    `codes ${[...codes].join(' ')}`,
    `violations ${violations.length}${violations.length > 0 ? `: ${violations[0] ?? ''}` : ''}`,
  ].join(' | ');
}

/** The longest time without an acknowledged write after the failure began. */
function getGapMs({ events, beginMs }: RunResult): number {
  const times = events
    .filter(({ result, endMs }) => result === WriteResult.Acknowledged && endMs >= beginMs)
    .map(({ endMs }) => endMs)
    .sort((left, right) => left - right);
  let longest = 0;
  let last = beginMs;
  for (const time of times) {
    longest = Math.max(longest, time - last);
    last = time;
  }
  const end = Math.max(...events.map(({ endMs }) => endMs));
  return Math.max(longest, end - last);
}

/** Acknowledged writes that are lost, writes that stand twice, and `not run` writes that ran. */
function findViolations({ events, rows }: RunResult): string[] {
  return events.flatMap(({ id, result }) => {
    const times = rows.get(id) ?? 0;
    if (times > 1) {
      return [`${id} stands ${times} times`];
    }
    if (result === WriteResult.Acknowledged && times === 0) {
      return [`${id} was acknowledged and is lost`];
    }
    return result === WriteResult.NotRun && times > 0 ? [`${id} was not run but stands`] : [];
  });
}
