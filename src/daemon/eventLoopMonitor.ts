import { Diagnostics } from '../common/diagnostics/index.js';
import type { Logger } from '../common/logging/index.js';
import type { TimerService } from '../common/timer/index.js';

const CHECK_INTERVAL_MS = 100;
/**
 * Shortest delay of the event loop that is logged. It is less than the shortest election timeout,
 * after which an unresponsive leader is replaced.
 */
const REPORT_THRESHOLD_MS = 150;
/** Shortest time between two log lines. */
const REPORT_INTERVAL_MS = 500;

/**
 * Logs when the event loop was blocked for long, with the processor time used meanwhile: it shows
 * whether the process was computing or got no processor time.
 */
export class EventLoopMonitor {
  private lastCheckMs: number;
  private lastUsedMs: number;
  private lastReportMs = -Infinity;

  constructor(
    private readonly timer: TimerService,
    private readonly logger: Logger,
    /** Returns the processor time that this process has used, in milliseconds. */
    private readonly readUsedMs: () => number,
  ) {
    this.lastCheckMs = timer.now();
    this.lastUsedMs = readUsedMs();
  }

  /** Starts the periodic checks. */
  start(): void {
    this.timer.subscribe(CHECK_INTERVAL_MS, (nowMs) => this.check(nowMs));
  }

  private check(nowMs: number): void {
    const blockedMs = Math.round(nowMs - this.lastCheckMs - CHECK_INTERVAL_MS);
    const usedMs = this.readUsedMs();
    if (blockedMs >= REPORT_THRESHOLD_MS && nowMs - this.lastReportMs >= REPORT_INTERVAL_MS) {
      this.lastReportMs = nowMs;
      const processorMs = Math.round(usedMs - this.lastUsedMs);
      this.logger.report(
        Diagnostics.EventLoopHeld,
        { heldMs: blockedMs },
        { step: 'loop', processorMs },
      );
    }
    this.lastCheckMs = nowMs;
    this.lastUsedMs = usedMs;
  }
}

/** Returns the processor time that this process has used, in milliseconds. */
export function readProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1000;
}
