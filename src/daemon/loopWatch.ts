import { Diagnostics } from '../common/diagnostics/index.js';
import type { Logger } from '../common/logging/index.js';
import type { TimerService } from '../common/timer/index.js';

const LOOK_INTERVAL_MS = 100;
/** Less than the shortest election timeout, after which a silent leader is replaced. */
const HELD_MS = 150;
/** Shortest time between two lines about it. */
const REPORT_INTERVAL_MS = 500;

/** Tells when nothing ran in this process for long, and whether it computed meanwhile or got no processor. */
export class LoopWatch {
  private lastLookMs: number;
  private lastUsedMs: number;
  private lastReportMs = -Infinity;

  constructor(
    private readonly timer: TimerService,
    private readonly logger: Logger,
    /** Processor time that this process has used, in milliseconds. */
    private readonly readUsedMs: () => number,
  ) {
    this.lastLookMs = timer.now();
    this.lastUsedMs = readUsedMs();
  }

  /** Begins to look. */
  start(): void {
    this.timer.subscribe(LOOK_INTERVAL_MS, (nowMs) => this.look(nowMs));
  }

  private look(nowMs: number): void {
    const heldMs = Math.round(nowMs - this.lastLookMs - LOOK_INTERVAL_MS);
    const usedMs = this.readUsedMs();
    if (heldMs >= HELD_MS && nowMs - this.lastReportMs >= REPORT_INTERVAL_MS) {
      this.lastReportMs = nowMs;
      const processorMs = Math.round(usedMs - this.lastUsedMs);
      this.logger.report(Diagnostics.EventLoopHeld, { heldMs }, { step: 'loop', processorMs });
    }
    this.lastLookMs = nowMs;
    this.lastUsedMs = usedMs;
  }
}

/** Processor time of this process, in milliseconds. */
export function readProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1000;
}
