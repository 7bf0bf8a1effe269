import { performance } from 'node:perf_hooks';
import type { TimerService } from '../../common/timer/index.js';
import { HostWork, type WorkCounts, type WorkReport } from '../../decisions/control/index.js';

/** Counts of the resources that a daemon holds. */
export type HeldCounts = Omit<WorkCounts, 'busyMs'>;

/** Creates the work reports of this host, for the lease renewals. */
export class WorkRecorder {
  private readonly work: HostWork;

  constructor(
    private readonly timer: TimerService,
    private readonly getCounts: () => HeldCounts,
    /** Cores that this host may use; absent when unknown. */
    private readonly cores: number | undefined,
    /** Returns the processor time that this process has used, in milliseconds. */
    private readonly readProcessorMs: () => number,
  ) {
    this.work = new HostWork(cores);
  }

  /** Creates the report for a renewal that is about to be sent; undefined if none is due. */
  createReport(): WorkReport | undefined {
    const nowMs = this.timer.now();
    return this.work.isDue(nowMs)
      ? this.work.createReport({ ...this.getCounts(), busyMs: this.getBusyMs() }, nowMs)
      : undefined;
  }

  /**
   * Time for which this host was busy. Where its cores are unknown, the event loop tells: it is also
   * busy while the process may not run because its processor time is used up.
   */
  private getBusyMs(): number {
    return this.cores === undefined
      ? performance.eventLoopUtilization().active
      : this.readProcessorMs() / this.cores;
  }
}
