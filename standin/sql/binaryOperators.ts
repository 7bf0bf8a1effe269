import { ColumnType, isIntegral, isNumeric, type SqlValue } from '../storage/index.js';
import { getType, toType, type CompiledExpression } from './compiledExpression.js';
import { Diagnostics, sqlFault } from './sqlFault.js';

type Value = string | number | boolean;
type Compare = (left: Value, right: Value) => boolean;
type Calculate = (left: number, right: number) => number;

const COMPARISONS = new Map<string, Compare>([
  ['=', (left, right) => left === right],
  ['!=', (left, right) => left !== right],
  ['<>', (left, right) => left !== right],
  ['<', (left, right) => left < right],
  ['<=', (left, right) => left <= right],
  ['>', (left, right) => left > right],
  ['>=', (left, right) => left >= right],
]);

const CALCULATIONS = new Map<string, Calculate>([
  ['+', (left, right) => left + right],
  ['-', (left, right) => left - right],
  ['*', (left, right) => left * right],
  ['/', (left, right) => left / right],
  ['%', (left, right) => left % right],
]);

/** Compiles AND and OR with SQL's three-valued logic. */
export function compileLogic(
  operator: string,
  left: CompiledExpression,
  right: CompiledExpression,
): CompiledExpression | undefined {
  if (operator !== 'AND' && operator !== 'OR') {
    return undefined;
  }
  const decisive = operator === 'OR';
  return {
    type: ColumnType.Boolean,
    isConstant: left.isConstant && right.isConstant,
    evaluate: (row, context) => {
      const first = left.evaluate(row, context);
      if (first === decisive) {
        return decisive;
      }
      const second = right.evaluate(row, context);
      if (second === decisive) {
        return decisive;
      }
      return first === undefined || second === undefined ? undefined : !decisive;
    },
  };
}

/** Compiles a comparison; null on either side gives null. */
export function compileComparison(
  operator: string,
  left: CompiledExpression,
  right: CompiledExpression,
): CompiledExpression | undefined {
  const compare = COMPARISONS.get(operator);
  if (compare === undefined) {
    return undefined;
  }
  const type = getCommonType(left, right);
  const first = toType(left, type).evaluate;
  const second = toType(right, type).evaluate;
  return {
    type: ColumnType.Boolean,
    isConstant: left.isConstant && right.isConstant,
    evaluate: (row, context) =>
      combine(first(row, context), second(row, context), (a, b) => compare(a, b)),
  };
}

/** Compiles arithmetic and concatenation; null on either side gives null. */
export function compileArithmetic(
  operator: string,
  left: CompiledExpression,
  right: CompiledExpression,
): CompiledExpression | undefined {
  const isConstant = left.isConstant && right.isConstant;
  if (operator === '||') {
    const first = toType(left, ColumnType.Text).evaluate;
    const second = toType(right, ColumnType.Text).evaluate;
    return {
      type: ColumnType.Text,
      isConstant,
      evaluate: (row, context) =>
        combine(first(row, context), second(row, context), (a, b) => String(a) + String(b)),
    };
  }
  const calculate = CALCULATIONS.get(operator);
  if (calculate === undefined) {
    return undefined;
  }
  const type = getCommonType(left, right, ColumnType.Integer);
  if (!isNumeric(type)) {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature: `operator ${operator} on ${type}` });
  }
  const first = toType(left, type).evaluate;
  const second = toType(right, type).evaluate;
  const evaluate: CompiledExpression['evaluate'] = (row, context) =>
    combine(first(row, context), second(row, context), (a, b) =>
      calculateWithin(type, operator, calculate(Number(a), Number(b))),
    );
  return toType({ type: undefined, isConstant, evaluate }, type);
}

function calculateWithin(type: ColumnType, operator: string, result: number): number {
  if (!Number.isFinite(result)) {
    const isDivision = operator === '/' || operator === '%';
    throw isDivision
      ? sqlFault(Diagnostics.SqlDivisionByZero)
      : sqlFault(Diagnostics.SqlValueOutOfRange, { type });
  }
  return isIntegral(type) ? Math.trunc(result) : result;
}

function combine(
  left: SqlValue,
  right: SqlValue,
  operation: (left: Value, right: Value) => Value,
): SqlValue {
  return left === undefined || right === undefined ? undefined : operation(left, right);
}

function getCommonType(
  left: CompiledExpression,
  right: CompiledExpression,
  fallback = ColumnType.Text,
): ColumnType {
  if (left.type === undefined || right.type === undefined) {
    return left.type ?? right.type ?? fallback;
  }
  if (left.type === right.type) {
    return left.type;
  }
  if (!isNumeric(left.type) || !isNumeric(right.type)) {
    return isNumeric(left.type) || isNumeric(right.type) ? ColumnType.Text : getType(left);
  }
  const order = [ColumnType.Double, ColumnType.Numeric, ColumnType.BigInteger, ColumnType.Integer];
  return order.find((type) => type === left.type || type === right.type) ?? fallback;
}
