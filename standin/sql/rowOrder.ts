import type { Expr, OrderByStatement, SelectedColumn } from 'pgsql-ast-parser';
import type { Row, SqlValue } from '../storage/index.js';
import { compileExpression } from './compileExpression.js';
import type { CompiledExpression } from './compiledExpression.js';
import type { CompileScope } from './compileScope.js';
import type { EvaluationContext } from './evaluationContext.js';

interface SortKey {
  readonly expression: CompiledExpression;
  readonly isDescending: boolean;
  readonly nullsFirst: boolean;
}

/** The order that an ORDER BY clause asks for. */
export class RowOrder {
  private readonly keys: readonly SortKey[];

  constructor(
    clauses: readonly OrderByStatement[],
    selected: readonly SelectedColumn[],
    scope: CompileScope,
  ) {
    this.keys = clauses.map(({ by, order, nulls }) => {
      const isDescending = order === 'DESC';
      return {
        expression: compileExpression(resolve(by, selected), scope),
        isDescending,
        nullsFirst: nulls ? nulls === 'FIRST' : isDescending,
      };
    });
  }

  /** Sorts rows; equal rows keep their order. */
  sort(rows: Iterable<Row>, context: EvaluationContext): Row[] {
    const keyed = Array.from(rows, (row) => ({
      row,
      values: this.keys.map(({ expression }) => expression.evaluate(row, context)),
    }));
    keyed.sort((left, right) => this.compare(left.values, right.values));
    return keyed.map(({ row }) => row);
  }

  private compare(left: readonly SqlValue[], right: readonly SqlValue[]): number {
    for (const [index, key] of this.keys.entries()) {
      const result = compareValues(left[index], right[index], key);
      if (result !== 0) {
        return result;
      }
    }
    return 0;
  }
}

function resolve(by: Expr, selected: readonly SelectedColumn[]): Expr {
  if (by.type === 'integer') {
    return selected[by.value - 1]?.expr ?? by;
  }
  if (by.type === 'ref' && by.table === undefined) {
    return selected.find(({ alias }) => alias?.name === by.name)?.expr ?? by;
  }
  return by;
}

function compareValues(left: SqlValue, right: SqlValue, key: SortKey): number {
  if (left === right) {
    return 0;
  }
  if (left === undefined || right === undefined) {
    return (left === undefined) === key.nullsFirst ? -1 : 1;
  }
  return left < right === key.isDescending ? 1 : -1;
}
