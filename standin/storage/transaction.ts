import type { Change } from '../log/index.js';
import type { Database } from './database.js';
import { Table } from './table.js';
import type { TableDefinition } from './tableDefinition.js';
import { TableView } from './tableView.js';

/** The uncommitted changes of one transaction over the committed state (read committed). */
export class Transaction {
  readonly locks = new Set<string>();
  /** The transaction whose end this one waits for. */
  waitsFor: Transaction | undefined;
  private readonly views = new Map<string, TableView>();
  private readonly created = new Map<string, Table>();
  private readonly dropped = new Set<string>();
  private readonly endHandlers = new Set<() => void>();

  constructor(
    private readonly database: Database,
    /** The generation of the engine in which it began. */
    readonly generation: number,
  ) {}

  /** Whether anything would be written by a commit. */
  get hasChanges(): boolean {
    return this.created.size > 0 || this.dropped.size > 0 || this.views.size > 0;
  }

  /** A table as this transaction sees it. */
  tryGetTable(name: string): Table | undefined {
    const own = this.created.get(name);
    if (own !== undefined) {
      return own;
    }
    return this.dropped.has(name) ? undefined : this.database.tryGetTable(name);
  }

  /** The view of a table for reading; it is kept only once something is written through it. */
  getView(table: Table): TableView {
    return this.views.get(table.definition.name) ?? new TableView(table);
  }

  /** The view of a table for writing. */
  getWritableView(table: Table): TableView {
    const view = this.getView(table);
    this.views.set(table.definition.name, view);
    return view;
  }

  /** Creates a table. */
  createTable(definition: TableDefinition): void {
    this.created.set(definition.name, new Table(definition));
  }

  /** Drops a table. */
  dropTable(name: string): void {
    this.views.delete(name);
    if (this.database.tryGetTable(name) !== undefined) {
      this.dropped.add(name);
    }
    this.created.delete(name);
  }

  /** The changes to commit, in an order in which they can be applied. */
  getChanges(): Change[] {
    const changes: Change[] = [];
    for (const table of this.dropped) {
      changes.push({ kind: 'drop', table });
    }
    for (const { definition } of this.created.values()) {
      changes.push({ kind: 'create', definition });
    }
    for (const [table, view] of this.views) {
      for (const [rowId, row] of view.changes) {
        changes.push(
          row === undefined ? { kind: 'remove', table, rowId } : { kind: 'put', table, rowId, row },
        );
      }
    }
    return changes;
  }

  /** Calls a handler when the transaction has ended; the result takes the handler back. */
  onEnd(handler: () => void): () => void {
    this.endHandlers.add(handler);
    return () => this.endHandlers.delete(handler);
  }

  /** Tells those who wait that the transaction has ended. */
  notifyEnd(): void {
    for (const handler of [...this.endHandlers]) {
      handler();
    }
    this.endHandlers.clear();
  }
}
