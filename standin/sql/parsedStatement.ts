import type { Statement } from 'pgsql-ast-parser';
import type { SessionCommand } from './sessionCommand.js';

/** One statement: a session command or a statement about data. */
export type ParsedStatement =
  | { readonly kind: 'session'; readonly command: SessionCommand }
  | { readonly kind: 'data'; readonly statement: Statement };
