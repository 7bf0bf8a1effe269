import { readFileSync } from 'node:fs';
import type { TimerService, Unsubscribe } from '../../src/common/timer/index.js';
import type { HarmLog } from './harmLog.js';

const LOOK_MS = 250;
/** A process that waits for a processor this share of the time is slowed. */
const SLOWED_SHARE = 0.5;
const NS_IN_MS = 1e6;

/**
 * Sees processes that get no processor, by the kernel's count of the time that they waited for one
 * (Linux): a slowed host for which no promise with a time bound holds. The worst wait is told with each run.
 */
export class StarvationWatch {
  /** Longest share of a look that a process waited, in milliseconds. */
  worstMs = 0;
  /** Looks in which a process was slowed, of all. */
  slowed = 0;
  looks = 0;
  private readonly waits = new Map<number, number>();
  private stopLooking: Unsubscribe | undefined;

  constructor(
    private readonly timer: TimerService,
    private readonly harms: HarmLog,
    private readonly getProcesses: () => readonly number[],
  ) {}

  start(): void {
    this.stopLooking = this.timer.subscribe(LOOK_MS, () => this.look());
  }

  stop(): void {
    this.stopLooking?.();
  }

  private look(): void {
    const longestMs = Math.max(0, ...this.getProcesses().map((id) => this.getWait(id)));
    this.looks += 1;
    this.worstMs = Math.max(this.worstMs, longestMs);
    if (longestMs > LOOK_MS * SLOWED_SHARE) {
      this.slowed += 1;
      this.harms.noteSlowed(this.timer.now() - Math.max(longestMs, LOOK_MS), this.timer.now());
    }
  }

  /** Time that the process's main thread waited since the last look. */
  private getWait(id: number): number {
    const waitedMs = readWaitedMs(id);
    const before = this.waits.get(id) ?? waitedMs;
    this.waits.set(id, waitedMs);
    return waitedMs - before;
  }
}

function readWaitedMs(id: number): number {
  try {
    const [, waitedNs = '0'] = readFileSync(`/proc/${id}/task/${id}/schedstat`, 'utf8').split(' ');
    return Number(waitedNs) / NS_IN_MS;
  } catch {
    return 0;
  }
}
