import type { Expr, SelectFromStatement } from 'pgsql-ast-parser';
import { coerce, ColumnType, type Row, type SqlValue, type Table } from '../storage/index.js';
import type { Aggregate } from './aggregate.js';
import { compileExpression } from './compileExpression.js';
import { toType, type CompiledExpression } from './compiledExpression.js';
import { CompileScope } from './compileScope.js';
import type { EvaluationContext } from './evaluationContext.js';
import { done, Plan, type PlanOutcome, type PlanRun } from './plan.js';
import { Projection } from './projection.js';
import { RowFilter } from './rowFilter.js';
import { RowOrder } from './rowOrder.js';
import { Diagnostics, sqlFault } from './sqlFault.js';

interface SelectParts {
  readonly projection: Projection;
  readonly filter: RowFilter | undefined;
  readonly order: RowOrder | undefined;
  readonly limit: CompiledExpression | undefined;
  readonly offset: CompiledExpression | undefined;
  readonly aggregates: readonly Aggregate[];
}

const ONE_ROW: readonly Row[] = [[]];

/** A SELECT from at most one table. */
export class SelectPlan extends Plan {
  constructor(
    facts: Plan['facts'],
    table: Table | undefined,
    private readonly parts: SelectParts,
  ) {
    super(facts, table);
  }

  override run({ transaction, context }: PlanRun): PlanOutcome {
    const { filter, projection, aggregates, order } = this.parts;
    let rows: Iterable<Row> = ONE_ROW;
    if (this.table !== undefined && filter !== undefined) {
      rows = takeRows(filter.select(transaction.getView(this.table), context));
    }
    if (aggregates.length > 0) {
      rows = [fold(rows, aggregates, context)];
    }
    const sorted = order === undefined ? rows : order.sort(rows, context);
    const selected = this.limit(sorted, context);
    const projected = selected.map((row) => projection.project(row, context));
    return done(`SELECT ${projected.length}`, projected);
  }

  private limit(rows: Iterable<Row>, context: EvaluationContext): Row[] {
    const offset = evaluateCount(this.parts.offset, context) ?? 0;
    const limit = evaluateCount(this.parts.limit, context) ?? Infinity;
    const selected: Row[] = [];
    let index = 0;
    for (const row of rows) {
      if (selected.length >= limit) {
        break;
      }
      if (index >= offset) {
        selected.push(row);
      }
      index += 1;
    }
    return selected;
  }
}

/** Compiles a SELECT. */
export function compileSelect(statement: SelectFromStatement, find: FindTable): SelectPlan {
  refuseUnsupported(statement);
  const [from] = statement.from ?? [];
  if (from !== undefined && from.type !== 'table') {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature: 'FROM other than a table' });
  }
  const table = from === undefined ? undefined : find(from.name.name);
  const scope = new CompileScope(table?.definition, from?.name.alias, []);
  const filter =
    table === undefined ? undefined : new RowFilter(statement.where, table.definition, scope);
  scope.bareColumn = undefined;
  const projection = new Projection(statement.columns ?? [], scope);
  refuseMixture(scope);
  const { orderBy, limit } = statement;
  const order = orderBy ? new RowOrder(orderBy, statement.columns ?? [], scope) : undefined;
  const facts = {
    command: 'SELECT',
    isWrite: false,
    isOrdinaryWork: table !== undefined || scope.hasOrdinaryWork || !isAboutInstance(statement),
    columns: projection.columns,
    parameterTypes: scope.parameterTypes,
    sleeps: scope.sleeps,
  };
  return new SelectPlan(facts, table, {
    projection,
    filter,
    order,
    limit: compileCount(limit?.limit, scope),
    offset: compileCount(limit?.offset, scope),
    aggregates: scope.aggregates,
  });
}

/** Finds the table that a statement names; throws a fault where there is none. */
export type FindTable = (name: string) => Table;

function refuseUnsupported(statement: SelectFromStatement): void {
  const isJoined = (statement.from?.length ?? 0) > 1 || statement.from?.[0]?.join;
  const feature = isJoined
    ? 'JOIN'
    : statement.groupBy
      ? 'GROUP BY'
      : statement.having
        ? 'HAVING'
        : statement.distinct
          ? 'DISTINCT'
          : statement.for
            ? `SELECT FOR ${statement.for.type.toUpperCase()}`
            : undefined;
  if (feature !== undefined) {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature });
  }
  if (statement.where && !statement.from) {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature: 'WHERE without FROM' });
  }
}

function refuseMixture({ aggregates, bareColumn }: CompileScope): void {
  if (aggregates.length > 0 && bareColumn !== undefined) {
    throw sqlFault(Diagnostics.SqlGrouping, { column: bareColumn });
  }
}

function isAboutInstance(statement: SelectFromStatement): boolean {
  return (statement.columns ?? []).some(({ expr }) => expr.type === 'call');
}

function* takeRows(entries: Iterable<readonly [number, Row]>): Generator<Row> {
  for (const [, row] of entries) {
    yield row;
  }
}

function compileCount(
  expr: Expr | null | undefined,
  scope: CompileScope,
): CompiledExpression | undefined {
  return expr ? toType(compileExpression(expr, scope), ColumnType.BigInteger) : undefined;
}

function evaluateCount(
  expression: CompiledExpression | undefined,
  context: EvaluationContext,
): number | undefined {
  const value = expression?.evaluate([], context);
  return value === undefined ? undefined : Number(coerce(value, ColumnType.BigInteger));
}

function fold(
  rows: Iterable<Row>,
  aggregates: readonly Aggregate[],
  context: EvaluationContext,
): Row {
  const totals: SqlValue[] = aggregates.map((aggregate) => aggregate.initial);
  for (const row of rows) {
    aggregates.forEach((aggregate, index) => {
      const value = aggregate.argument ? aggregate.argument.evaluate(row, context) : true;
      if (value !== undefined) {
        totals[index] = aggregate.add(totals[index], value);
      }
    });
  }
  return totals;
}
