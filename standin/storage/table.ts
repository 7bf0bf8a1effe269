import { tryGetIndexText, type TableDefinition } from './tableDefinition.js';
import type { Row } from './sqlValue.js';

/** The committed rows of one table with an index for each unique key. */
export class Table {
  readonly rows = new Map<number, Row>();
  private readonly indexes: readonly Map<string, number>[];
  private readonly sequences: number[];
  private nextRowId = 1;

  constructor(readonly definition: TableDefinition) {
    this.indexes = definition.uniqueKeys.map(() => new Map<string, number>());
    this.sequences = definition.columns.map(() => 1);
  }

  /** A row id that was never given before. */
  takeRowId(): number {
    const rowId = this.nextRowId;
    this.nextRowId += 1;
    return rowId;
  }

  /** The next value of a column's sequence; never given back. */
  takeSequenceValue(column: number): number {
    const value = this.sequences[column] ?? 1;
    this.sequences[column] = value + 1;
    return value;
  }

  /** The id of the row with the given text in a unique key's index. */
  findRowId(keyIndex: number, text: string): number | undefined {
    return this.indexes[keyIndex]?.get(text);
  }

  /** Inserts or replaces a row. */
  put(rowId: number, row: Row): void {
    this.remove(rowId);
    this.rows.set(rowId, row);
    this.nextRowId = Math.max(this.nextRowId, rowId + 1);
    this.definition.uniqueKeys.forEach((key, keyIndex) => {
      const text = tryGetIndexText(key, row);
      if (text !== undefined) {
        this.indexes[keyIndex]?.set(text, rowId);
      }
    });
    this.advanceSequences(row);
  }

  /** Removes a row, if it is there. */
  remove(rowId: number): void {
    const row = this.rows.get(rowId);
    if (row === undefined) {
      return;
    }
    this.rows.delete(rowId);
    this.definition.uniqueKeys.forEach((key, keyIndex) => {
      const index = this.indexes[keyIndex];
      const text = tryGetIndexText(key, row);
      if (text !== undefined && index?.get(text) === rowId) {
        index.delete(text);
      }
    });
  }

  private advanceSequences(row: Row): void {
    this.definition.columns.forEach((column, index) => {
      const value = row[index];
      if (column.default === 'sequence' && typeof value === 'number') {
        this.sequences[index] = Math.max(this.sequences[index] ?? 1, value + 1);
      }
    });
  }
}
