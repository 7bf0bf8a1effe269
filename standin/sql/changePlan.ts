import type { DeleteStatement, Expr, UpdateStatement } from 'pgsql-ast-parser';
import { getRowLock, getTableLock, type Row, type Table } from '../storage/index.js';
import { compileExpression } from './compileExpression.js';
import { toType, type CompiledExpression } from './compiledExpression.js';
import { CompileScope } from './compileScope.js';
import type { EvaluationContext } from './evaluationContext.js';
import { checkNotNull, findDuplicate, getInsertLocks } from './insertPlan.js';
import { done, Plan, type PlanOutcome, type PlanRun } from './plan.js';
import { Projection } from './projection.js';
import { RowFilter } from './rowFilter.js';
import type { FindTable } from './selectPlan.js';
import { Diagnostics, sqlFault } from './sqlFault.js';

interface Assignment {
  readonly column: number;
  readonly value: CompiledExpression;
}

interface ChangeParts {
  readonly table: Table;
  readonly filter: RowFilter;
  /** The new values; absent where rows are deleted. */
  readonly assignments: readonly Assignment[] | undefined;
  readonly returning: Projection | undefined;
}

interface RowChange {
  readonly rowId: number;
  readonly before: Row;
  readonly after: Row | undefined;
}

/** An UPDATE or DELETE of the rows that a WHERE clause selects. */
export class ChangePlan extends Plan {
  constructor(
    facts: Plan['facts'],
    private readonly parts: ChangeParts,
  ) {
    super(facts, parts.table);
  }

  override run({ transaction, locks, context }: PlanRun): PlanOutcome {
    const { table, filter, returning } = this.parts;
    const view = transaction.getView(table);
    const changes = Array.from(filter.select(view, context), ([rowId, row]) =>
      this.createChange(rowId, row, context),
    );
    const needed = changes.flatMap((change) => getChangeLocks(table, change));
    const by = locks.findConflict([getTableLock(table.definition.name), ...needed], transaction);
    if (by !== undefined) {
      return { kind: 'blocked', by };
    }
    if (changes.length > 0) {
      locks.acquire(needed, transaction);
      this.write(transaction.getWritableView(table), changes);
    }
    const rows = returning
      ? changes.map(({ before, after }) => returning.project(after ?? before, context))
      : [];
    return done(`${this.facts.command} ${changes.length}`, rows);
  }

  private createChange(rowId: number, before: Row, context: EvaluationContext): RowChange {
    const { assignments, table } = this.parts;
    if (assignments === undefined) {
      return { rowId, before, after: undefined };
    }
    const after = [...before];
    for (const { column, value } of assignments) {
      after[column] = value.evaluate(before, context);
    }
    checkNotNull(table, after);
    return { rowId, before, after };
  }

  private write(
    view: ReturnType<PlanRun['transaction']['getWritableView']>,
    changes: readonly RowChange[],
  ): void {
    for (const { rowId, after } of changes) {
      if (after === undefined) {
        view.remove(rowId);
        continue;
      }
      const constraint = findDuplicate(view, after, rowId);
      if (constraint !== undefined) {
        throw sqlFault(Diagnostics.SqlUniqueViolation, { constraint });
      }
      view.put(rowId, after);
    }
  }
}

/** Compiles an UPDATE. */
export function compileUpdate(statement: UpdateStatement, find: FindTable): ChangePlan {
  if (statement.from) {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature: 'UPDATE FROM' });
  }
  const table = find(statement.table.name);
  const scope = new CompileScope(table.definition, statement.table.alias, []);
  const assignments = statement.sets.map(({ column: { name }, value }) => {
    const { column, index } = scope.findColumn(name, undefined);
    if (value.type === 'default') {
      throw sqlFault(Diagnostics.SqlUnsupported, { feature: 'SET column = DEFAULT' });
    }
    return { column: index, value: toType(compileExpression(value, scope), column.type) };
  });
  return compileChange('UPDATE', statement, table, scope, assignments);
}

/** Compiles a DELETE. */
export function compileDelete(statement: DeleteStatement, find: FindTable): ChangePlan {
  const table = find(statement.from.name);
  const scope = new CompileScope(table.definition, statement.from.alias, []);
  return compileChange('DELETE', statement, table, scope, undefined);
}

function compileChange(
  command: string,
  statement: {
    readonly where?: Expr | null | undefined;
    readonly returning?: UpdateStatement['returning'];
  },
  table: Table,
  scope: CompileScope,
  assignments: readonly Assignment[] | undefined,
): ChangePlan {
  const filter = new RowFilter(statement.where, table.definition, scope);
  const returning = statement.returning ? new Projection(statement.returning, scope) : undefined;
  const facts = {
    command,
    isWrite: true,
    isOrdinaryWork: true,
    columns: returning?.columns ?? [],
    parameterTypes: scope.parameterTypes,
    sleeps: scope.sleeps,
  };
  return new ChangePlan(facts, { table, filter, assignments, returning });
}

function getChangeLocks(table: Table, { rowId, before, after }: RowChange): string[] {
  const row = getRowLock(table.definition.name, rowId);
  const keys = getInsertLocks(table, before);
  return after === undefined ? [row, ...keys] : [row, ...keys, ...getInsertLocks(table, after)];
}
