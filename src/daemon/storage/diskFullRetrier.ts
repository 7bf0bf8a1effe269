import { Diagnostics } from '../../common/diagnostics/index.js';
import type { Logger } from '../../common/logging/index.js';
import type { TimerService } from '../../common/timer/index.js';
import { DiskFull } from './diskFull.js';

/** Time after which a write that a full disk refused is tried again, in milliseconds. */
export const FULL_DISK_RETRY_MS = 100;

/** Tries writes again for which the disk has no room, and says when it begins and ends to refuse them. */
export class DiskFullRetrier {
  private refusedSinceMs: number | undefined;
  private isStopped = false;
  private skipPause: (() => void) | undefined;

  constructor(
    private readonly timer: TimerService,
    private readonly logger: Logger,
  ) {}

  /** For how long the disk has refused writes, in milliseconds; undefined while it takes them. */
  get refusedMs(): number | undefined {
    const { refusedSinceMs } = this;
    return refusedSinceMs === undefined ? undefined : this.timer.now() - refusedSinceMs;
  }

  /**
   * Does work that may be done again from its start until the disk has room for it. Rejects with the
   * work's other errors, and with DiskFull once the wait has ended.
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

  /** Ends the wait: what the disk refuses from now on is not tried again. */
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
