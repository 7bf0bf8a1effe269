import { build, type Histogram } from 'hdr-histogram-js';
import pg from 'pg';
import type { TimerService } from '../../src/common/timer/index.js';

const MICROSECONDS = 1000;
const HIGHEST_MICROSECONDS = 60_000_000;

/** What a closed loop measured. */
export interface LoopResult {
  readonly statements: number;
  readonly seconds: number;
  readonly latency: Histogram;
}

/** Runs a statement over and over on several connections at once. */
export async function runClosedLoop(
  config: pg.ClientConfig,
  sessions: number,
  durationMs: number,
  getText: (count: number) => string,
  timer: TimerService,
): Promise<LoopResult> {
  const clients = Array.from({ length: sessions }, () => new pg.Client(config));
  await Promise.all(clients.map((client) => client.connect()));
  const latency = build({ highestTrackableValue: HIGHEST_MICROSECONDS });
  const beginMs = timer.now();
  const endMs = beginMs + durationMs;
  let statements = 0;
  await Promise.all(
    clients.map(async (client) => {
      for (let nowMs = timer.now(); nowMs < endMs;) {
        statements += 1;
        await client.query(getText(statements));
        const doneMs = timer.now();
        latency.recordValue(Math.max(1, Math.round((doneMs - nowMs) * MICROSECONDS)));
        nowMs = doneMs;
      }
    }),
  );
  const seconds = (timer.now() - beginMs) / 1000;
  await Promise.all(clients.map((client) => client.end()));
  return { statements, seconds, latency };
}
