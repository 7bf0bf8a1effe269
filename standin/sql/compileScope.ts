import type { ColumnDefinition, ColumnType, TableDefinition } from '../storage/index.js';
import type { Aggregate } from './aggregate.js';
import type { CompiledExpression } from './compiledExpression.js';
import { Diagnostics, sqlFault } from './sqlFault.js';

/** What names mean while a statement is compiled, and what was found in it. */
export class CompileScope {
  readonly aggregates: Aggregate[] = [];
  readonly sleeps: CompiledExpression[] = [];
  /** Whether the statement calls functions other than those about log positions. */
  hasOrdinaryWork = false;
  /** The name of a column that stands outside of any aggregate. */
  bareColumn: string | undefined;
  isInAggregate = false;

  constructor(
    readonly definition: TableDefinition | undefined,
    private readonly alias: string | undefined,
    readonly parameterTypes: (ColumnType | undefined)[],
  ) {}

  /** Finds a column of the statement's table. */
  findColumn(
    name: string,
    qualifier: string | undefined,
  ): { readonly column: ColumnDefinition; readonly index: number } {
    const isOwn = qualifier === undefined || qualifier === (this.alias ?? this.definition?.name);
    const index = this.definition?.columns.findIndex((column) => column.name === name) ?? -1;
    const column = this.definition?.columns[index];
    if (!isOwn || column === undefined) {
      throw sqlFault(Diagnostics.SqlColumnUnknown, { column: name });
    }
    if (!this.isInAggregate) {
      this.bareColumn ??= name;
    }
    return { column, index };
  }
}
