import type { Expr, ExprCall, ValueKeyword } from 'pgsql-ast-parser';
import { ColumnType } from '../storage/index.js';
import { tryCreateAggregate } from './aggregate.js';
import { getType, toType, type CompiledExpression } from './compiledExpression.js';
import type { CompileScope } from './compileScope.js';
import { sqlFunctions } from './sqlFunctions.js';
import { Diagnostics, sqlFault } from './sqlFault.js';

type Compile = (expr: Expr) => CompiledExpression;

const AGGREGATES = new Set(['count', 'sum', 'min', 'max']);

/** Compiles a function call. */
export function compileCall(
  expr: ExprCall,
  scope: CompileScope,
  compile: Compile,
): CompiledExpression {
  const name = expr.function.name.toLowerCase();
  if (expr.over ?? expr.filter ?? expr.withinGroup ?? expr.distinct) {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature: `${name} with further clauses` });
  }
  if (AGGREGATES.has(name)) {
    return compileAggregate(name, expr, scope, compile);
  }
  const args = expr.args.map(compile);
  if (name === 'pg_sleep' && args[0] !== undefined) {
    scope.hasOrdinaryWork = true;
    scope.sleeps.push(toType(args[0], ColumnType.Double));
    return { type: ColumnType.Void, isConstant: true, evaluate: () => '' };
  }
  if (name === 'coalesce') {
    return compileCoalesce(args);
  }
  return compileFunction(name, args, scope);
}

/** Compiles a function that is written without parentheses. */
export function compileKeyword(keyword: ValueKeyword): CompiledExpression {
  switch (keyword) {
    case 'current_timestamp':
    case 'localtimestamp':
      return {
        type: ColumnType.Timestamp,
        isConstant: true,
        evaluate: (_row, { environment }) => new Date(environment.nowMs()).toISOString(),
      };
    case 'current_user':
    case 'session_user':
    case 'user':
      return {
        type: ColumnType.Text,
        isConstant: true,
        evaluate: (_row, { environment }) => environment.user,
      };
    default:
      throw sqlFault(Diagnostics.SqlUnsupported, { feature: keyword });
  }
}

function compileAggregate(
  name: string,
  expr: ExprCall,
  scope: CompileScope,
  compile: Compile,
): CompiledExpression {
  const [first] = expr.args;
  const isStar = first?.type === 'ref' && first.name === '*';
  scope.isInAggregate = true;
  const argument = first === undefined || isStar ? undefined : compile(first);
  scope.isInAggregate = false;
  const aggregate = tryCreateAggregate(name, argument);
  if (aggregate === undefined || (argument === undefined && name !== 'count')) {
    throw sqlFault(Diagnostics.SqlFunctionUnknown, { name: `${name}()` });
  }
  const index = scope.aggregates.push(aggregate) - 1;
  return { type: aggregate.type, isConstant: false, evaluate: (row) => row[index] };
}

function compileCoalesce(args: readonly CompiledExpression[]): CompiledExpression {
  const type = args.find((argument) => argument.type !== undefined)?.type ?? ColumnType.Text;
  const typed = args.map((argument) => toType(argument, type));
  return {
    type,
    isConstant: args.every((argument) => argument.isConstant),
    evaluate: (row, context) => {
      for (const argument of typed) {
        const value = argument.evaluate(row, context);
        if (value !== undefined) {
          return value;
        }
      }
      return undefined;
    },
  };
}

function compileFunction(
  name: string,
  args: readonly CompiledExpression[],
  scope: CompileScope,
): CompiledExpression {
  const found = sqlFunctions.get(name);
  if (found?.parameters.length !== args.length) {
    const types = args.map(getType).join(', ');
    throw sqlFault(Diagnostics.SqlFunctionUnknown, { name: `${name}(${types})` });
  }
  scope.hasOrdinaryWork ||= !found.isAboutInstance;
  const typed = args.map((argument, index) =>
    toType(argument, found.parameters[index] ?? ColumnType.Text),
  );
  return {
    type: found.type,
    isConstant: args.every((argument) => argument.isConstant),
    evaluate: (row, context) =>
      found.call(
        typed.map((argument) => argument.evaluate(row, context)),
        context.environment,
      ),
  };
}
