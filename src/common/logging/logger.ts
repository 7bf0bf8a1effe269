import { Logger as TsLogger } from 'tslog';
import {
  DiagnosticCategory,
  Diagnostics,
  formatDiagnostic,
  type Diagnostic,
  type DiagnosticArguments,
  type Fault,
} from '../diagnostics/index.js';
import { SystemTimerService } from '../timer/index.js';
import { formatLine } from './formatLine.js';
import type { LogFields } from './logFields.js';
import { RepeatLimiter } from './repeatLimiter.js';

const LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** Minimum level of the lines that are written. */
export type LogLevel = keyof typeof LEVELS;

const LEVEL_BY_CATEGORY: Readonly<Record<DiagnosticCategory, LogLevel>> = {
  [DiagnosticCategory.Message]: 'info',
  [DiagnosticCategory.Refusal]: 'info',
  [DiagnosticCategory.Warning]: 'warn',
  [DiagnosticCategory.Error]: 'error',
};

/** Writes events as lines of key=value pairs; limits repeated warnings, errors and refusals. */
export class Logger {
  constructor(
    private readonly level: LogLevel,
    private readonly base: LogFields,
    private readonly output: (line: string) => void = (line) => process.stderr.write(`${line}\n`),
    private readonly limiter = new RepeatLimiter(new SystemTimerService()),
    private readonly sink = createSink(level, output),
  ) {}

  /** Returns a logger that adds fields to each line and shares the limit on repeated lines. */
  with(fields: LogFields): Logger {
    const base = { ...this.base, ...fields };
    return new Logger(this.level, base, this.output, this.limiter, this.sink);
  }

  /** Writes a diagnostic at the level of its category, subject to the limit on repeated lines. */
  report(diagnostic: Diagnostic, values: DiagnosticArguments, fields: LogFields = {}): void {
    const level = LEVEL_BY_CATEGORY[diagnostic.category];
    if (!this.isWritten(level)) {
      return;
    }
    this.reportSuppressed();
    const isLimited = diagnostic.category !== DiagnosticCategory.Message;
    if (!isLimited || this.limiter.admit(diagnostic)) {
      const message = formatDiagnostic(diagnostic, values);
      this.emit(level, { code: formatCode(diagnostic), message, ...fields });
    }
  }

  /** Writes a fault with the step and peer where it arose and whether its request was run. */
  reportFault(fault: Fault, fields: LogFields = {}): void {
    const { diagnostic, values, step, peer, execution } = fault;
    this.report(diagnostic, values, { step, peer, execution, ...fields });
  }

  /** Writes a diagnostic without the limit on repeated lines; callers limit the rate themselves. */
  write(diagnostic: Diagnostic, values: DiagnosticArguments, fields: LogFields): void {
    const level = LEVEL_BY_CATEGORY[diagnostic.category];
    if (this.isWritten(level)) {
      const message = formatDiagnostic(diagnostic, values);
      this.emit(level, { code: formatCode(diagnostic), message, ...fields });
    }
  }

  /** Writes a message at debug level. */
  debug(message: string, fields: LogFields = {}): void {
    if (this.isWritten('debug')) {
      this.emit('debug', { message, ...fields });
    }
  }

  private reportSuppressed(): void {
    for (const { diagnostic, count } of this.limiter.takeSuppressed()) {
      const summary = Diagnostics.LinesSuppressed;
      const message = formatDiagnostic(summary, { count, code: formatCode(diagnostic) });
      this.emit(LEVEL_BY_CATEGORY[diagnostic.category], { code: formatCode(summary), message });
    }
  }

  private isWritten(level: LogLevel): boolean {
    return LEVELS[level] >= LEVELS[this.level];
  }

  private emit(level: LogLevel, fields: LogFields): void {
    const time = new Date().toISOString();
    this.sink[level](formatLine({ time, level, ...this.base, ...fields }));
  }
}

function createSink(level: LogLevel, write: (line: string) => void): TsLogger<unknown> {
  const sink = new TsLogger<unknown>({
    type: 'hidden',
    // Looking up the source position takes most of the time spent on a line.
    hideLogPositionForProduction: true,
    minLevel: LEVELS[level],
  });
  sink.attachTransport((entry) => write(entry['0'] as unknown as string));
  return sink;
}

function formatCode(diagnostic: Diagnostic): string {
  return `FP${diagnostic.code}`;
}
