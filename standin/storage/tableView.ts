import { tryGetIndexText } from './tableDefinition.js';
import type { Row } from './sqlValue.js';
import type { Table } from './table.js';

/** A table as one transaction sees it: the committed rows and its own changes. */
export class TableView {
  /** Own changes by row id; a removed row has no value. */
  readonly changes = new Map<number, Row | undefined>();
  private readonly ownKeys: readonly Map<string, number>[];

  constructor(readonly table: Table) {
    this.ownKeys = table.definition.uniqueKeys.map(() => new Map<string, number>());
  }

  /** The present rows with their ids. */
  *rows(): Generator<readonly [number, Row]> {
    for (const entry of this.table.rows) {
      if (this.changes.size === 0 || !this.changes.has(entry[0])) {
        yield entry;
      }
    }
    for (const [rowId, row] of this.changes) {
      if (row !== undefined) {
        yield [rowId, row];
      }
    }
  }

  /** A present row by id. */
  tryGetRow(rowId: number): Row | undefined {
    return this.changes.has(rowId) ? this.changes.get(rowId) : this.table.rows.get(rowId);
  }

  /** The id of the present row with the given text in a unique key's index. */
  findRowId(keyIndex: number, text: string): number | undefined {
    const ownId = this.ownKeys[keyIndex]?.get(text);
    if (ownId !== undefined && this.hasText(ownId, keyIndex, text)) {
      return ownId;
    }
    const rowId = this.table.findRowId(keyIndex, text);
    return rowId !== undefined && this.hasText(rowId, keyIndex, text) ? rowId : undefined;
  }

  /** Inserts or replaces a row in this view only. */
  put(rowId: number, row: Row): void {
    this.changes.set(rowId, row);
    this.table.definition.uniqueKeys.forEach((key, keyIndex) => {
      const text = tryGetIndexText(key, row);
      if (text !== undefined) {
        this.ownKeys[keyIndex]?.set(text, rowId);
      }
    });
  }

  /** Removes a row in this view only. */
  remove(rowId: number): void {
    this.changes.set(rowId, undefined);
  }

  private hasText(rowId: number, keyIndex: number, text: string): boolean {
    const key = this.table.definition.uniqueKeys[keyIndex];
    const row = this.tryGetRow(rowId);
    return key !== undefined && row !== undefined && tryGetIndexText(key, row) === text;
  }
}
