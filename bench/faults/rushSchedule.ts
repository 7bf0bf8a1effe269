import type { RandomSource } from '../../src/common/random.js';

/** Callers of some entry hosts all ask at once, while these hosts have little processor time. */
export interface ScheduledRush {
  readonly atMs: number;
  /** The first host, as a share of all entry hosts; the others follow it. */
  readonly where: number;
  readonly hosts: number;
  readonly lengthMs: number;
  /** Processor time that each read of a socket takes besides. */
  readonly readMs: number;
  /** When each host is told to stop, from the begin of the rush; empty when none is. */
  readonly stopsMs: readonly number[];
}

const GAP_MS = 1600;
const MOST_HOSTS = 3;
const SHORTEST_MS = 600;
const LENGTH_MS = 1800;
const LEAST_READ_MS = 1;
const READ_MS = 7;
const STOP_SHARE = 0.75;
/** Stops come after the rush has begun to be felt, over some part of it. */
const FIRST_STOP_MS = 50;
const STOP_SPREAD_MS = 900;

/** Draws the rushes of a run. They overlap each other and the faults of its schedule. */
export function drawRushes(random: RandomSource, durationMs: number): readonly ScheduledRush[] {
  const rushes: ScheduledRush[] = [];
  let atMs = GAP_MS * random.next();
  while (atMs < durationMs) {
    const hosts = 1 + Math.floor(random.next() * MOST_HOSTS);
    const stops = random.next() < STOP_SHARE ? hosts : 0;
    rushes.push({
      ...{ atMs, where: random.next(), hosts },
      lengthMs: SHORTEST_MS + random.next() * LENGTH_MS,
      readMs: LEAST_READ_MS + random.next() * READ_MS,
      stopsMs: Array.from({ length: stops }, () => FIRST_STOP_MS + random.next() * STOP_SPREAD_MS),
    });
    atMs += GAP_MS * 2 * random.next();
  }
  return rushes;
}
