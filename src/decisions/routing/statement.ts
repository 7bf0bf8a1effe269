import type { StatementKind } from './statementKind.js';

/** A classified statement text. */
export interface Statement {
  readonly kind: StatementKind;
  /** Whether parsing failed: the effects are unknown, and the connection is closed afterwards. */
  readonly unclassified: boolean;
  /** Whether the text may open, commit or roll back a transaction among other statements. */
  readonly controlsTransaction: boolean;
  /** Description of the refused feature. */
  readonly feature?: string;
  /** The parameter of a Set or Show. */
  readonly parameter?: string;
  /** The value of a Set; absent for `DEFAULT` and RESET. */
  readonly value?: string;
}
