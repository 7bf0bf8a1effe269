import type { ColumnType } from './columnType.js';
import type { Row, SqlValue } from './sqlValue.js';

/** The value that an INSERT gives to a column that it does not name. */
export type ColumnDefault = 'none' | 'sequence' | 'now' | { readonly value: SqlValue };

/** One column of a table. */
export interface ColumnDefinition {
  readonly name: string;
  readonly type: ColumnType;
  readonly notNull: boolean;
  readonly default: ColumnDefault;
}

/** A primary key or unique constraint: its name and the indexes of its columns. */
export interface UniqueKey {
  readonly name: string;
  readonly columns: readonly number[];
}

/** The columns and unique keys of a table. */
export interface TableDefinition {
  readonly name: string;
  readonly columns: readonly ColumnDefinition[];
  readonly uniqueKeys: readonly UniqueKey[];
}

/** The text under which a row is found in a unique key's index; absent where a part is null. */
export function tryGetIndexText(key: UniqueKey, row: Row): string | undefined {
  const [first] = key.columns;
  if (key.columns.length === 1 && first !== undefined) {
    const value = row[first];
    return value === undefined ? undefined : String(value);
  }
  const values = key.columns.map((column) => row[column]);
  return values.includes(undefined) ? undefined : JSON.stringify(values);
}
