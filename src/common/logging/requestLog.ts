import { Diagnostics, type Diagnostic, type DiagnosticArguments } from '../diagnostics/index.js';
import type { TimerService } from '../timer/index.js';
import type { LogFields } from './logFields.js';
import type { Logger } from './logger.js';

/** Sampling of requests that are not notable: one in so many is written. */
const SAMPLING_INTERVAL = 500;
/** Maximum of lines about notable requests per interval; bounds the cost of a refusal burst. */
const LINES_PER_INTERVAL = 20;
const INTERVAL_MS = 1000;

/** Logs ended requests: refused, lost or slow ones up to a rate limit, and a sample of the rest. */
export class RequestLog {
  private ordinaryRequests = 0;
  private writtenLines = 0;
  private suppressedLines = 0;
  private intervalEndMs = 0;

  constructor(
    private readonly logger: Logger,
    private readonly timer: TimerService,
  ) {}

  /** Records the end of a request; `isNotable` marks one that failed, was declined or was slow. */
  record(
    diagnostic: Diagnostic,
    values: DiagnosticArguments,
    isNotable: boolean,
    getFields: () => LogFields,
  ): void {
    this.beginInterval(this.timer.now());
    if (!isNotable) {
      this.ordinaryRequests += 1;
      if (this.ordinaryRequests % SAMPLING_INTERVAL !== 1) {
        return;
      }
    } else if (this.writtenLines >= LINES_PER_INTERVAL) {
      this.suppressedLines += 1;
      return;
    } else {
      this.writtenLines += 1;
    }
    this.logger.write(diagnostic, values, getFields());
  }

  private beginInterval(nowMs: number): void {
    if (nowMs < this.intervalEndMs) {
      return;
    }
    const { suppressedLines: suppressedCount } = this;
    this.intervalEndMs = nowMs + INTERVAL_MS;
    this.writtenLines = 0;
    this.suppressedLines = 0;
    if (suppressedCount > 0) {
      this.logger.write(
        Diagnostics.RequestLinesLeftOut,
        { count: suppressedCount },
        { step: 'log' },
      );
    }
  }
}
