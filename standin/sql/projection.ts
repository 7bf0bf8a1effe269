import type { Expr, SelectedColumn } from 'pgsql-ast-parser';
import type { Row } from '../storage/index.js';
import { compileExpression } from './compileExpression.js';
import { getType, type CompiledExpression } from './compiledExpression.js';
import type { CompileScope } from './compileScope.js';
import type { EvaluationContext } from './evaluationContext.js';
import type { ResultColumn } from './plan.js';
import { Diagnostics, sqlFault } from './sqlFault.js';

/** The output columns of a SELECT or RETURNING list. */
export class Projection {
  readonly columns: ResultColumn[] = [];
  private readonly expressions: CompiledExpression[] = [];

  constructor(selected: readonly SelectedColumn[], scope: CompileScope) {
    for (const { expr, alias } of selected) {
      if (expr.type === 'ref' && expr.name === '*') {
        this.addAllColumns(scope);
      } else {
        const compiled = compileExpression(expr, scope);
        this.add(alias?.name ?? nameOf(expr), compiled);
      }
    }
  }

  /** Computes the output row. */
  project(row: Row, context: EvaluationContext): Row {
    return this.expressions.map((expression) => expression.evaluate(row, context));
  }

  private add(name: string, expression: CompiledExpression): void {
    this.columns.push({ name, type: getType(expression) });
    this.expressions.push(expression);
  }

  private addAllColumns(scope: CompileScope): void {
    if (scope.definition === undefined) {
      throw sqlFault(Diagnostics.SqlSyntax, { reason: 'SELECT * with no tables specified' });
    }
    for (const column of scope.definition.columns) {
      this.add(column.name, compileExpression({ type: 'ref', name: column.name }, scope));
    }
  }
}

function nameOf(expr: Expr): string {
  switch (expr.type) {
    case 'ref':
      return expr.name;
    case 'call':
      return expr.function.name;
    case 'cast':
      return expr.operand.type === 'ref' || expr.operand.type === 'call'
        ? nameOf(expr.operand)
        : 'name' in expr.to
          ? expr.to.name
          : '?column?';
    case 'keyword':
      return expr.keyword;
    default:
      return '?column?';
  }
}
