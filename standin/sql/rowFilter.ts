import type { Expr } from 'pgsql-ast-parser';
import type { Row, TableDefinition, TableView } from '../storage/index.js';
import { compileExpression } from './compileExpression.js';
import { toType, type CompiledExpression } from './compiledExpression.js';
import type { CompileScope } from './compileScope.js';
import type { EvaluationContext } from './evaluationContext.js';

interface KeyLookup {
  readonly keyIndex: number;
  readonly values: readonly CompiledExpression[];
}

const NO_ROW: Row = [];

/** Finds the rows of a table that a WHERE clause selects, by a unique key where it can. */
export class RowFilter {
  private readonly condition: CompiledExpression | undefined;
  private readonly lookup: KeyLookup | undefined;

  constructor(where: Expr | null | undefined, definition: TableDefinition, scope: CompileScope) {
    if (where !== null && where !== undefined) {
      this.condition = compileExpression(where, scope);
      this.lookup = findLookup(where, definition, scope);
    }
  }

  /** The matching rows with their ids. */
  *select(view: TableView, context: EvaluationContext): Generator<readonly [number, Row]> {
    const { condition } = this;
    for (const entry of this.candidates(view, context)) {
      if (condition === undefined || condition.evaluate(entry[1], context) === true) {
        yield entry;
      }
    }
  }

  private candidates(
    view: TableView,
    context: EvaluationContext,
  ): Iterable<readonly [number, Row]> {
    if (this.lookup === undefined) {
      return view.rows();
    }
    const values = this.lookup.values.map((value) => value.evaluate(NO_ROW, context));
    if (values.includes(undefined)) {
      return [];
    }
    const text = values.length === 1 ? String(values[0]) : JSON.stringify(values);
    const rowId = view.findRowId(this.lookup.keyIndex, text);
    const row = rowId === undefined ? undefined : view.tryGetRow(rowId);
    return rowId === undefined || row === undefined ? [] : [[rowId, row]];
  }
}

function findLookup(
  where: Expr,
  definition: TableDefinition,
  scope: CompileScope,
): KeyLookup | undefined {
  const equalities = new Map<number, CompiledExpression>();
  collectEqualities(where, definition, scope, equalities);
  for (const [keyIndex, key] of definition.uniqueKeys.entries()) {
    const values = key.columns.map((column) => equalities.get(column));
    const present = values.filter((value) => value !== undefined);
    if (present.length === key.columns.length) {
      return { keyIndex, values: present };
    }
  }
  return undefined;
}

function collectEqualities(
  expr: Expr,
  definition: TableDefinition,
  scope: CompileScope,
  equalities: Map<number, CompiledExpression>,
): void {
  if (expr.type !== 'binary') {
    return;
  }
  if (expr.op === 'AND') {
    collectEqualities(expr.left, definition, scope, equalities);
    collectEqualities(expr.right, definition, scope, equalities);
  } else if (expr.op === '=') {
    const left = compileExpression(expr.left, scope);
    const right = compileExpression(expr.right, scope);
    addEquality(left, right, definition, equalities);
    addEquality(right, left, definition, equalities);
  }
}

function addEquality(
  side: CompiledExpression,
  value: CompiledExpression,
  definition: TableDefinition,
  equalities: Map<number, CompiledExpression>,
): void {
  const column = side.column === undefined ? undefined : definition.columns[side.column];
  const isSameKind = value.type === undefined || value.type === column?.type;
  if (side.column !== undefined && column !== undefined && value.isConstant && isSameKind) {
    equalities.set(side.column, toType(value, column.type));
  }
}
