import type { RandomSource } from '../../src/common/random.js';

/** What happens to a host or instance. */
export enum FaultKind {
  Stop = 'stop',
  /** SIGTERM, and again while the process stops. */
  StopTwice = 'stop-twice',
  /** SIGHUP while the process stops. */
  StopReload = 'stop-reload',
  /** Several hosts stop one shortly after another. */
  StopSeries = 'stop-series',
  /** Several SIGHUPs in a row, with the settings half written in between. */
  ReloadSeries = 'reload-series',
  /** A failure domain is taken out and back. */
  DomainOut = 'domain-out',
  Pause = 'pause',
  /** SIGTERM to a paused process. */
  PauseStop = 'pause-stop',
  Kill = 'kill',
  /** Killed again and again shortly after its start. */
  KillSeries = 'kill-series',
  /** Killed while it stops. */
  StopKill = 'stop-kill',
  KillAll = 'kill-all',
  Wipe = 'wipe',
  Tear = 'tear',
  DiskFull = 'disk-full',
  DiskFailing = 'disk-failing',
  DiskStalled = 'disk-stalled',
  DiskSlow = 'disk-slow',
  ClockStep = 'clock-step',
  Cut = 'cut',
  OneWay = 'one-way',
  Delay = 'delay',
  Silence = 'silence',
  Reset = 'reset',
  InstanceSilence = 'instance-silence',
  InstanceStop = 'instance-stop',
  InstanceDeaf = 'instance-deaf',
  InstanceDark = 'instance-dark',
}

/** Planned work: around it no request that a daemon has read may be cut. All else nobody planned. */
export const PLANNED_KINDS: readonly FaultKind[] = [
  FaultKind.Stop,
  FaultKind.StopTwice,
  FaultKind.StopReload,
  FaultKind.StopSeries,
  FaultKind.ReloadSeries,
  FaultKind.DomainOut,
];

/** One fault of a schedule. */
export interface ScheduledFault {
  readonly atMs: number;
  readonly kind: FaultKind;
  /** Which host or instance, as a share of all that can be harmed. */
  readonly where: number;
  readonly lengthMs: number;
  /** What else the fault draws, 0 to 1. */
  readonly draw: number;
}

const PLANNED_SHARE = 0.45;
/** Mean time between two faults for six hosts; shorter with more. */
const GAP_MS = 900;
const HOSTS_PER_GAP = 6;
const SHORTEST_MS = 150;
const LENGTH_MS = 2200;

/** Draws all faults of a run: planned work first, then everything. They overlap. */
export function drawSchedule(
  random: RandomSource,
  durationMs: number,
  hosts: number,
): readonly ScheduledFault[] {
  const all = Object.values(FaultKind);
  const gapMs = (GAP_MS * HOSTS_PER_GAP) / Math.max(hosts, HOSTS_PER_GAP);
  const schedule: ScheduledFault[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    const kinds = atMs < durationMs * PLANNED_SHARE ? PLANNED_KINDS : all;
    schedule.push({
      atMs,
      kind: kinds[Math.floor(random.next() * kinds.length)] ?? FaultKind.Stop,
      where: random.next(),
      lengthMs: SHORTEST_MS + random.next() * LENGTH_MS,
      draw: random.next(),
    });
    atMs += gapMs * 2 * random.next();
  }
  return schedule;
}
