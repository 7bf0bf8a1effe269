import { Diagnostics } from '../../common/diagnostics/index.js';
import type { Logger } from '../../common/logging/index.js';
import type { TimerService } from '../../common/timer/index.js';
import { DiskFull } from './diskFull.js';

/** Time after which a write that failed on a full disk is retried, in milliseconds. */
export const FULL_DISK_RETRY_MS = 100;

/**
 * Retries writes that fail because the disk is full, and logs when such a period begins and ends.
 */
export class DiskFullRetrier {
  private refusedSinceMs: number | undefined;
  private isStopped = false;
  private skipPause: (() => void) | undefined;

  constructor(
    private readonly timer: TimerService,
    private readonly logger: Logger,
  ) {}

  /**
   * Time since the first refused write, in milliseconds; undefined while the disk accepts writes.
   */
  get refusedMs(): number | undefined {
    const { refusedSinceMs } = this;
    return refusedSinceMs === undefined ? undefined : this.timer.now() - refusedSinceMs;
  }

  /**
   * Repeats `work` from its start until the disk has free space for it. Rejects with other errors
   * of the work at once, and with DiskFull after `stopRetrying`.
   */
  async run<Value>(work: () => Promise<Value>): Promise<Value> {
    for (;;) {
      try {
        const value = await work();
        this.recordSuccess();
        return value;
      } catch (cause) {
        if (!(cause instanceof DiskFull) || this.isStopped) {
          throw cause;
        }
        this.recordRefusal(cause);
      }
      await this.pause();
    }
  }

  /** Stops retrying: waiting work is tried once more, and any DiskFull from now on is rejected. */
  stopRetrying(): void {
    this.isStopped = true;
    this.skipPause?.();
  }

  private pause(): Promise<void> {
    return new Promise((resolve) => {
      const cancel = this.timer.once(FULL_DISK_RETRY_MS, () => resolve());
      this.skipPause = () => {
        cancel();
        resolve();
      };
    });
  }

  private recordRefusal({ message: reason }: DiskFull): void {
    if (this.refusedSinceMs === undefined) {
      this.refusedSinceMs = this.timer.now();
      this.logger.report(Diagnostics.DiskRefusesWrites, { reason }, { step: 'storage.write' });
    }
  }

  private recordSuccess(): void {
    const { refusedMs } = this;
    if (refusedMs !== undefined) {
      this.refusedSinceMs = undefined;
      const ms = Math.round(refusedMs);
      this.logger.report(Diagnostics.DiskTakesWrites, { ms }, { step: 'storage.write' });
    }
  }
}
