import type { StatementKind } from './statementKind.js';

/** A classified statement text. */
export interface Statement {
  readonly kind: StatementKind;
  /** The text could not be parsed: its effects are unknown, and its connection is closed after it. */
  readonly unclassified: boolean;
  /** It may open, commit or roll back a transaction among other things. */
  readonly controlsTransaction: boolean;
  /** The refused feature, in words. */
  readonly feature?: string;
  /** The parameter of a Set or Show. */
  readonly parameter?: string;
  /** The value of a Set; absent for `DEFAULT` and RESET. */
  readonly value?: string;
}
