import type { DiagnosticCategory } from './diagnosticCategory.js';

/** One entry of the diagnostic table: number, category, text with `{name}` places, SQLSTATE. */
export interface Diagnostic {
  readonly code: number;
  readonly category: DiagnosticCategory;
  readonly text: string;
  /** The SQLSTATE shown to a caller; absent where no caller sees the diagnostic. */
  readonly sqlState?: string;
}
