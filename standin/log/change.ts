import type { Row, TableDefinition } from '../storage/index.js';

/** What a committed transaction did to one table or row. */
export type Change =
  | { readonly kind: 'create'; readonly definition: TableDefinition }
  | { readonly kind: 'drop'; readonly table: string }
  | { readonly kind: 'put'; readonly table: string; readonly rowId: number; readonly row: Row }
  | { readonly kind: 'remove'; readonly table: string; readonly rowId: number };
