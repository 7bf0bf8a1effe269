import {
  DiagnosticCategory,
  formatDiagnostic,
  type Diagnostic,
  type DiagnosticArguments,
} from '../../common/diagnostics/index.js';

/** How serious a finding is. */
export enum Severity {
  /** The control hosts refuse the entry, or it cannot work. */
  Error = 'error',
  /** The entry is accepted but probably not meant. */
  Warning = 'warning',
}

/** One problem of a configuration. */
export interface Finding {
  readonly severity: Severity;
  /** Number of the diagnostic. */
  readonly code: number;
  /** Subject that the finding concerns, such as `account/mill-7`. */
  readonly subject: string;
  /** What is wrong and what to change. */
  readonly sentence: string;
}

/** The result of a rule that finds nothing; shared, since rules run for each of many entries. */
export const NOTHING_FOUND: readonly Finding[] = [];

/** Creates a finding; its severity is that of the diagnostic's category. */
export function createFinding(
  diagnostic: Diagnostic,
  subject: string,
  values: DiagnosticArguments = {},
): Finding {
  const isWarning = diagnostic.category === DiagnosticCategory.Warning;
  return {
    severity: isWarning ? Severity.Warning : Severity.Error,
    code: diagnostic.code,
    subject,
    sentence: formatDiagnostic(diagnostic, values),
  };
}
