import type { Change } from '../log/index.js';
import { Table } from './table.js';

/** The committed state of an instance: what its log says, applied in order. */
export class Database {
  private readonly tables = new Map<string, Table>();

  /** Finds a committed table. */
  tryGetTable(name: string): Table | undefined {
    return this.tables.get(name);
  }

  /** Applies the changes of one committed transaction. */
  apply(changes: readonly Change[]): void {
    for (const change of changes) {
      this.applyChange(change);
    }
  }

  /** Applies the creation of a table that a transaction already holds. */
  install(table: Table): void {
    this.tables.set(table.definition.name, table);
  }

  private applyChange(change: Change): void {
    switch (change.kind) {
      case 'create':
        this.install(new Table(change.definition));
        break;
      case 'drop':
        this.tables.delete(change.table);
        break;
      case 'put':
        this.tables.get(change.table)?.put(change.rowId, change.row);
        break;
      case 'remove':
        this.tables.get(change.table)?.remove(change.rowId);
        break;
    }
  }
}
