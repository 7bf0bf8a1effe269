import { Diagnostics, type Diagnostic, type DiagnosticArguments } from '../diagnostics/index.js';
import type { TimerService } from '../timer/index.js';
import type { LogFields } from './logFields.js';
import type { Logger } from './logger.js';

/** Sampling of requests that are not notable: one in so many is written. */
const SAMPLED_REQUESTS = 500;
/** Maximum of lines about notable requests per interval; bounds the cost of a refusal burst. */
const LINES_PER_INTERVAL = 20;
const INTERVAL_MS = 1000;

/** Logs ended requests: refused, lost or slow ones up to a rate limit, and a sample of the rest. */
export class RequestLog {
  private ordinary = 0;
  private written = 0;
  private leftOut = 0;
  private intervalEndMs = 0;

  constructor(
    private readonly logger: Logger,
    private readonly timer: TimerService,
  ) {}

  /** Records the end of a request; `isNotable` marks one that failed, was declined or was slow. */
  note(
    diagnostic: Diagnostic,
    values: DiagnosticArguments,
    isNotable: boolean,
    getFields: () => LogFields,
  ): void {
    this.beginInterval(this.timer.now());
    if (!isNotable) {
      this.ordinary += 1;
      if (this.ordinary % SAMPLED_REQUESTS !== 1) {
        return;
      }
    } else if (this.written >= LINES_PER_INTERVAL) {
      this.leftOut += 1;
      return;
    } else {
      this.written += 1;
    }
    this.logger.write(diagnostic, values, getFields());
  }

  private beginInterval(nowMs: number): void {
    if (nowMs < this.intervalEndMs) {
      return;
    }
    const { leftOut } = this;
    this.intervalEndMs = nowMs + INTERVAL_MS;
    this.written = 0;
    this.leftOut = 0;
    if (leftOut > 0) {
      this.logger.write(Diagnostics.RequestLinesLeftOut, { count: leftOut }, { step: 'log' });
    }
  }
}
