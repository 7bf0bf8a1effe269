import type { DiagnosticCategory } from './diagnosticCategory.js';

/** Entry of the diagnostic table: number, category, text with `{name}` placeholders, SQLSTATE. */
export interface Diagnostic {
  readonly code: number;
  readonly category: DiagnosticCategory;
  readonly text: string;
  /** SQLSTATE reported to callers; absent if the diagnostic is never sent to a caller. */
  readonly sqlState?: string;
}
