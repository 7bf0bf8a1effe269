import { coerce, ColumnType } from '../storage/index.js';
import type { Evaluate } from './evaluationContext.js';

/** An expression ready to be evaluated. */
export interface CompiledExpression {
  /** The type; absent for a text literal or parameter that takes the type of its use. */
  readonly type: ColumnType | undefined;
  readonly evaluate: Evaluate;
  /** Whether the value does not depend on the row. */
  readonly isConstant: boolean;
  /** The index of the column, where the expression is just a column. */
  readonly column?: number;
  /** Tells a parameter which type its use asks for. */
  readonly resolve?: (type: ColumnType) => void;
}

/** Converts an expression to a type; a parameter takes the type as its own. */
export function toType(expression: CompiledExpression, type: ColumnType): CompiledExpression {
  if (expression.type === type) {
    return expression;
  }
  expression.resolve?.(type);
  const { evaluate, isConstant } = expression;
  return { type, isConstant, evaluate: (row, context) => coerce(evaluate(row, context), type) };
}

/** The type of an expression; text where nothing else gives it one. */
export function getType(expression: CompiledExpression): ColumnType {
  return expression.type ?? ColumnType.Text;
}
