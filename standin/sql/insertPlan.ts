import type { Expr, InsertStatement } from 'pgsql-ast-parser';
import {
  coerce,
  getKeyLock,
  getTableLock,
  tryGetIndexText,
  type ColumnDefinition,
  type Row,
  type SqlValue,
  type Table,
  type TableView,
} from '../storage/index.js';
import { compileExpression } from './compileExpression.js';
import { toType, type CompiledExpression } from './compiledExpression.js';
import { CompileScope } from './compileScope.js';
import type { EvaluationContext } from './evaluationContext.js';
import { done, Plan, type PlanOutcome, type PlanRun } from './plan.js';
import { Projection } from './projection.js';
import type { FindTable } from './selectPlan.js';
import { Diagnostics, sqlFault } from './sqlFault.js';

/** The value of each column of a new row; absent for the column's default. */
type RowSource = readonly (CompiledExpression | undefined)[];

interface InsertParts {
  readonly table: Table;
  readonly sources: readonly RowSource[];
  readonly ignoresConflicts: boolean;
  readonly returning: Projection | undefined;
}

/** An INSERT of given rows. */
export class InsertPlan extends Plan {
  constructor(
    facts: Plan['facts'],
    private readonly parts: InsertParts,
  ) {
    super(facts, parts.table);
  }

  override run({ transaction, locks, context }: PlanRun): PlanOutcome {
    const { table, sources, returning } = this.parts;
    const rows = sources.map((source) => createRow(table, source, context));
    const needed = rows.flatMap((row) => getInsertLocks(table, row));
    const by = locks.findConflict([getTableLock(table.definition.name), ...needed], transaction);
    if (by !== undefined) {
      return { kind: 'blocked', by };
    }
    locks.acquire(needed, transaction);
    const view = transaction.getWritableView(table);
    const inserted = rows.filter((row) => this.insert(view, row));
    const result = returning ? inserted.map((row) => returning.project(row, context)) : [];
    return done(`INSERT 0 ${inserted.length}`, result);
  }

  private insert(view: TableView, row: Row): boolean {
    const conflict = findDuplicate(view, row);
    if (conflict === undefined) {
      view.put(view.table.takeRowId(), row);
      return true;
    }
    if (this.parts.ignoresConflicts) {
      return false;
    }
    throw sqlFault(Diagnostics.SqlUniqueViolation, { constraint: conflict });
  }
}

/** Compiles an INSERT. */
export function compileInsert(statement: InsertStatement, find: FindTable): InsertPlan {
  const { insert, onConflict } = statement;
  if (insert.type !== 'values') {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature: 'INSERT from a query' });
  }
  if (onConflict && onConflict.do !== 'do nothing') {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature: 'ON CONFLICT DO UPDATE' });
  }
  const table = find(statement.into.name);
  const scope = new CompileScope(table.definition, statement.into.alias, []);
  const targets = findTargets(statement, table);
  const sources = insert.values.map((values) => compileSource(values, targets, table, scope));
  const returning = statement.returning ? new Projection(statement.returning, scope) : undefined;
  const facts = {
    command: 'INSERT',
    isWrite: true,
    isOrdinaryWork: true,
    columns: returning?.columns ?? [],
    parameterTypes: scope.parameterTypes,
    sleeps: scope.sleeps,
  };
  const ignoresConflicts = onConflict?.do === 'do nothing';
  return new InsertPlan(facts, { table, sources, ignoresConflicts, returning });
}

/** The name of the unique key that a new row would violate. */
export function findDuplicate(view: TableView, row: Row, ownRowId?: number): string | undefined {
  for (const [keyIndex, key] of view.table.definition.uniqueKeys.entries()) {
    const text = tryGetIndexText(key, row);
    const rowId = text === undefined ? undefined : view.findRowId(keyIndex, text);
    if (rowId !== undefined && rowId !== ownRowId) {
      return key.name;
    }
  }
  return undefined;
}

/** The locks on a row's unique keys. */
export function getInsertLocks(table: Table, row: Row): string[] {
  return table.definition.uniqueKeys.flatMap((key, keyIndex) => {
    const text = tryGetIndexText(key, row);
    return text === undefined ? [] : [getKeyLock(table.definition.name, keyIndex, text)];
  });
}

/** Throws a fault where a column that must not be null is. */
export function checkNotNull(table: Table, row: Row): void {
  for (const [index, column] of table.definition.columns.entries()) {
    if (column.notNull && row[index] === undefined) {
      throw sqlFault(Diagnostics.SqlNotNullViolation, { column: column.name });
    }
  }
}

function findTargets(statement: InsertStatement, table: Table): readonly number[] {
  const { columns } = table.definition;
  if (!statement.columns) {
    return columns.map((_column, index) => index);
  }
  return statement.columns.map(({ name }) => {
    const index = columns.findIndex((column) => column.name === name);
    if (index < 0) {
      throw sqlFault(Diagnostics.SqlColumnUnknown, { column: name });
    }
    return index;
  });
}

function compileSource(
  values: readonly Expr[],
  targets: readonly number[],
  table: Table,
  scope: CompileScope,
): RowSource {
  if (values.length > targets.length) {
    throw sqlFault(Diagnostics.SqlSyntax, {
      reason: 'INSERT has more expressions than target columns',
    });
  }
  const source: (CompiledExpression | undefined)[] = table.definition.columns.map(() => undefined);
  const plain = new CompileScope(undefined, undefined, scope.parameterTypes);
  values.forEach((value, index) => {
    const target = targets[index] ?? -1;
    const column = table.definition.columns[target];
    if (column !== undefined && value.type !== 'default') {
      source[target] = toType(compileExpression(value, plain), column.type);
    }
  });
  scope.sleeps.push(...plain.sleeps);
  return source;
}

function createRow(table: Table, source: RowSource, context: EvaluationContext): Row {
  const row = table.definition.columns.map((column, index) => {
    const expression = source[index];
    return expression === undefined
      ? createDefault(table, column, index, context)
      : expression.evaluate([], context);
  });
  checkNotNull(table, row);
  return row;
}

function createDefault(
  table: Table,
  column: ColumnDefinition,
  index: number,
  context: EvaluationContext,
): SqlValue {
  switch (column.default) {
    case 'none':
      return undefined;
    case 'sequence':
      return table.takeSequenceValue(index);
    case 'now':
      return new Date(context.environment.nowMs()).toISOString();
    default:
      return coerce(column.default.value, column.type);
  }
}
