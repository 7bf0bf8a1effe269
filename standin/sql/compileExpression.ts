import type { Expr, ExprBinary, ExprCast, ExprUnary } from 'pgsql-ast-parser';
import { coerce, ColumnType, isNumeric, tryGetColumnType } from '../storage/index.js';
import { compileArithmetic, compileComparison, compileLogic } from './binaryOperators.js';
import { compileCall, compileKeyword } from './compileCall.js';
import { toType, type CompiledExpression } from './compiledExpression.js';
import type { CompileScope } from './compileScope.js';
import { Diagnostics, sqlFault } from './sqlFault.js';

const INTEGER_LIMIT = 2_147_483_648;

/** Compiles an expression; throws a fault where the stand-in cannot evaluate it. */
export function compileExpression(expr: Expr, scope: CompileScope): CompiledExpression {
  switch (expr.type) {
    case 'ref':
      return compileColumn(expr.name, expr.table?.name, scope);
    case 'parameter':
      return compileParameter(expr.name, scope);
    case 'integer':
      return literal(
        expr.value,
        Math.abs(expr.value) < INTEGER_LIMIT ? ColumnType.Integer : ColumnType.BigInteger,
      );
    case 'numeric':
      return literal(expr.value, ColumnType.Numeric);
    case 'string':
      return literal(expr.value, undefined);
    case 'boolean':
      return literal(expr.value, ColumnType.Boolean);
    case 'null':
      return literal(undefined, undefined);
    case 'cast':
      return compileCast(expr, scope);
    case 'unary':
      return compileUnary(expr, scope);
    case 'binary':
      return compileBinary(expr, scope);
    case 'call':
      return compileCall(expr, scope, (argument) => compileExpression(argument, scope));
    case 'keyword':
      return compileKeyword(expr.keyword);
    default:
      throw sqlFault(Diagnostics.SqlUnsupported, { feature: `expression ${expr.type}` });
  }
}

function literal(
  value: string | number | boolean | undefined,
  type: ColumnType | undefined,
): CompiledExpression {
  return { type, isConstant: true, evaluate: () => value };
}

function compileColumn(
  name: string,
  qualifier: string | undefined,
  scope: CompileScope,
): CompiledExpression {
  const { column, index } = scope.findColumn(name, qualifier);
  return { type: column.type, isConstant: false, column: index, evaluate: (row) => row[index] };
}

function compileParameter(name: string, scope: CompileScope): CompiledExpression {
  const index = Number(name.slice(1)) - 1;
  if (!Number.isInteger(index) || index < 0) {
    throw sqlFault(Diagnostics.SqlParameterUnknown, { number: name.slice(1) });
  }
  const types = scope.parameterTypes;
  while (types.length <= index) {
    types.push(undefined);
  }
  const known = types[index];
  return {
    type: known,
    isConstant: true,
    evaluate: (_row, { parameters }) => {
      const text = parameters[index];
      return known === undefined ? text : coerce(text, known);
    },
    resolve: (type) => {
      types[index] ??= type;
    },
  };
}

function compileCast(expr: ExprCast, scope: CompileScope): CompiledExpression {
  const name = 'name' in expr.to ? expr.to.name : 'array';
  const type = tryGetColumnType(name);
  if (type === undefined) {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature: `type ${name}` });
  }
  return toType(compileExpression(expr.operand, scope), type);
}

function compileUnary(expr: ExprUnary, scope: CompileScope): CompiledExpression {
  const { type, isConstant, evaluate } = compileExpression(expr.operand, scope);
  switch (expr.op) {
    case 'IS NULL':
    case 'IS NOT NULL': {
      const isNull = expr.op === 'IS NULL';
      return {
        type: ColumnType.Boolean,
        isConstant,
        evaluate: (row, context) => (evaluate(row, context) === undefined) === isNull,
      };
    }
    case 'NOT':
      return {
        type: ColumnType.Boolean,
        isConstant,
        evaluate: (row, context) => {
          const value = evaluate(row, context);
          return value === undefined ? undefined : value !== true;
        },
      };
    case '-':
      return {
        type: type !== undefined && isNumeric(type) ? type : ColumnType.Numeric,
        isConstant,
        evaluate: (row, context) => {
          const value = evaluate(row, context);
          return value === undefined ? undefined : -Number(value);
        },
      };
    default:
      throw sqlFault(Diagnostics.SqlUnsupported, { feature: `operator ${expr.op}` });
  }
}

function compileBinary(expr: ExprBinary, scope: CompileScope): CompiledExpression {
  if (expr.op === 'IN' || expr.op === 'NOT IN') {
    return compileMembership(expr, scope);
  }
  const left = compileExpression(expr.left, scope);
  const right = compileExpression(expr.right, scope);
  const compiled =
    compileLogic(expr.op, left, right) ??
    compileComparison(expr.op, left, right) ??
    compileArithmetic(expr.op, left, right);
  if (compiled === undefined) {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature: `operator ${expr.op}` });
  }
  return compiled;
}

function compileMembership(expr: ExprBinary, scope: CompileScope): CompiledExpression {
  if (expr.right.type !== 'list') {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature: `${expr.op} with a subquery` });
  }
  const left = compileExpression(expr.left, scope);
  const equalities = expr.right.expressions.map((member) =>
    compileComparison('=', left, compileExpression(member, scope)),
  );
  const isIn = expr.op === 'IN';
  return {
    type: ColumnType.Boolean,
    isConstant: false,
    evaluate: (row, context) => {
      const results = equalities.map((equality) => equality?.evaluate(row, context));
      if (results.includes(true)) {
        return isIn;
      }
      return results.includes(undefined) ? undefined : !isIn;
    },
  };
}
