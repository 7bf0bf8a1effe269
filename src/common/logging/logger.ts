import { Logger as TsLogger } from 'tslog';
import {
  DiagnosticCategory,
  formatDiagnostic,
  type Diagnostic,
  type DiagnosticArguments,
} from '../diagnostics/index.js';
import type { LogFields } from './logFields.js';
import { formatLine } from './formatLine.js';

const LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** The lowest level that is written. */
export type LogLevel = keyof typeof LEVELS;

const LEVEL_OF: Readonly<Record<DiagnosticCategory, LogLevel>> = {
  [DiagnosticCategory.Message]: 'info',
  [DiagnosticCategory.Refusal]: 'info',
  [DiagnosticCategory.Warning]: 'warn',
  [DiagnosticCategory.Error]: 'error',
};

/** Writes one line of key=value pairs for each event. */
export class Logger {
  private readonly sink: TsLogger<unknown>;

  constructor(
    private readonly level: LogLevel,
    private readonly base: LogFields,
    private readonly write: (line: string) => void = (line) => process.stderr.write(`${line}\n`),
  ) {
    this.sink = new TsLogger<unknown>({ type: 'hidden', minLevel: LEVELS[level] });
    this.sink.attachTransport((entry) => this.write(entry['0'] as unknown as string));
  }

  /** Creates a logger that adds fields to each line. */
  with(fields: LogFields): Logger {
    return new Logger(this.level, { ...this.base, ...fields }, this.write);
  }

  /** Writes a diagnostic at the level that its category asks for. */
  report(diagnostic: Diagnostic, values: DiagnosticArguments, fields: LogFields = {}): void {
    const level = LEVEL_OF[diagnostic.category];
    const message = formatDiagnostic(diagnostic, values);
    this.emit(level, { code: `FP${diagnostic.code}`, message, ...fields });
  }

  /** Writes a detail for developers. */
  debug(message: string, fields: LogFields = {}): void {
    this.emit('debug', { message, ...fields });
  }

  private emit(level: LogLevel, fields: LogFields): void {
    if (LEVELS[level] < LEVELS[this.level]) {
      return;
    }
    const line = formatLine({ time: new Date().toISOString(), level, ...this.base, ...fields });
    this.sink[level](line);
  }
}
