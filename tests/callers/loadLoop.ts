import type pg from 'pg';
import { expect } from 'vitest';
import type { CallerFleet } from './callerFleet.js';

const CALLERS = 8;

/** What the client library throws. */
interface CallerError {
  readonly code?: string;
  readonly detail?: string;
  readonly routine?: string;
  readonly message: string;
}

/** Errors of the client library that come before it has sent anything. */
const NOT_SENT = /ECONNREFUSED|not queryable/;

/** What a load loop saw. */
export interface Seen {
  readonly acknowledged: number[];
  readonly notRun: number[];
  readonly wrong: string[];
  stopped: boolean;
}

/** Writes and reads back over one connection after another until it is stopped. */
async function load(callers: CallerFleet, host: string, base: number, seen: Seen): Promise<void> {
  let client: pg.Client | undefined;
  for (let id = base; !seen.stopped && id < base + 1000; id += 1) {
    try {
      client ??= await callers.connect(host);
      await client.query('INSERT INTO bookings VALUES ($1, $2)', [id, host]);
      seen.acknowledged.push(id);
      const { rows } = await client.query('SELECT who FROM bookings WHERE id = $1', [id]);
      if (JSON.stringify(rows) !== JSON.stringify([{ who: host }])) {
        seen.wrong.push(`${id}: ${JSON.stringify(rows)}`);
      }
    } catch (error) {
      const { detail, code, message, routine = '' } = error as CallerError;
      const isTold =
        detail?.startsWith('not run') === true || NOT_SENT.test(`${code ?? ''} ${message}`);
      const wasRead = seen.acknowledged.includes(id);
      if (isTold) {
        seen.notRun.push(...(wasRead ? [] : [id]));
      } else {
        seen.wrong.push(`${id}: ${code ?? ''} ${message} ${routine}`);
      }
      client = undefined;
      if (code === 'ECONNREFUSED' || code === '57P01') {
        return;
      }
    }
  }
}

/** Starts several load loops at once. */
export function startLoad(callers: CallerFleet, host: string, base: number) {
  const seen: Seen = { acknowledged: [], notRun: [], wrong: [], stopped: false };
  const loops = Array.from({ length: CALLERS }, (_unused, index) =>
    load(callers, host, base + index * 1000, seen),
  );
  return {
    seen,
    stop: () => {
      seen.stopped = true;
      return Promise.all(loops);
    },
  };
}

/** Checks that acknowledged writes are in the log once and those not run are not. */
export function expectTruth(callers: CallerFleet, { acknowledged, notRun, wrong }: Seen): void {
  expect(wrong).toEqual([]);
  expect(acknowledged.filter((id) => callers.countCommits(id) !== 1)).toEqual([]);
  expect(notRun.filter((id) => callers.countCommits(id) !== 0)).toEqual([]);
}
