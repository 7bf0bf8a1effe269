import { Diagnostics } from '../../common/diagnostics/index.js';
import type { Logger } from '../../common/logging/index.js';
import type { ReaderMetrics } from '../../common/metrics/index.js';
import type { RandomSource } from '../../common/random.js';
import type { TimerService } from '../../common/timer/index.js';
import {
  ReadResult,
  type ReaderCandidate,
  type ReaderExclusion,
  type ReaderSelector,
} from '../../decisions/routing/index.js';
import { isCapacityRefusal, type ExecuteRequest } from '../requests/index.js';
import { PauseWatch } from './pauseWatch.js';

/** Faults after which the reader is not there any more, or its instance cannot be reached. */
const GONE: ReadonlySet<number> = new Set([
  Diagnostics.HolderMoved.code,
  Diagnostics.LeaseExpired.code,
  Diagnostics.MeshUnreachable.code,
  Diagnostics.BackendUnreachable.code,
]);

/** Services for the choice between readers by measured time. */
export interface TimedChoice {
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: ReaderMetrics;
}

/** A request that was sent to a reader. */
export interface SentRead {
  readonly reader: ReaderCandidate;
  readonly request: ExecuteRequest;
  readonly sentMs: number;
  /** When the answer began; undefined if nothing of it has arrived. */
  answeredMs?: number;
}

/** Gives the results of requests to the selector of their group, and reports what follows. */
export class ReaderResults {
  /** Present where readers are chosen by measured time. */
  private readonly pauses: PauseWatch | undefined;

  constructor(
    private readonly timer: TimerService,
    private readonly timedChoice: TimedChoice | undefined,
  ) {
    this.pauses = timedChoice && new PauseWatch(timer);
  }

  /** Counts the trials of a selector after a choice. */
  recordTrials(selector: ReaderSelector): void {
    const trials = selector.takeTrials();
    if (trials > 0) {
      this.timedChoice?.metrics.recordTrials(trials);
    }
  }

  /**
   * Records a request that ended with an answer or the fault `code`. Its response time is that until
   * its answer began, because the rest depends on the caller.
   */
  recordEnd(selector: ReaderSelector, sent: SentRead, code: number | undefined): void {
    const result = getEndResult(code);
    if (result !== undefined) {
      this.record(selector, sent, result);
    }
  }

  /** Records a request that its reader lost, or did not answer in time (without a code). */
  recordFailure(selector: ReaderSelector, sent: SentRead, code: number | undefined): void {
    const isGone = code === undefined || GONE.has(code);
    this.record(selector, sent, isGone ? ReadResult.Unanswered : ReadResult.Lost);
  }

  private record(selector: ReaderSelector, sent: SentRead, result: ReadResult): void {
    const nowMs = this.timer.now();
    const { reader, request, sentMs, answeredMs = nowMs } = sent;
    // What was in flight while this host stood still tells nothing about its reader.
    if (this.pauses?.wasPaused(sentMs, nowMs) !== true) {
      const elapsedMs = answeredMs - sentMs;
      const { costClass } = request;
      const exclusion = selector.recordResult(reader, costClass, elapsedMs, result, nowMs);
      this.report(request, exclusion);
    }
  }

  private report({ group }: ExecuteRequest, exclusion: ReaderExclusion | undefined): void {
    const { timedChoice } = this;
    if (exclusion === undefined || timedChoice === undefined) {
      return;
    }
    const { instance, slowness, lengthMs } = exclusion;
    timedChoice.metrics.recordExclusion();
    timedChoice.logger.report(
      Diagnostics.ReaderExcluded,
      { instance, group, lengthMs: Math.round(lengthMs), slowness: slowness.toFixed(1) },
      { step: 'entry.reader' },
    );
  }
}

/** Returns how a request with this fault ended; undefined if that tells nothing about its reader. */
function getEndResult(code: number | undefined): ReadResult | undefined {
  if (code === undefined) {
    return ReadResult.Served;
  }
  const isRefused = isCapacityRefusal(code) || code === Diagnostics.DeadlineExceeded.code;
  return isRefused ? ReadResult.Refused : undefined;
}
