import { ColumnType, type SqlValue } from '../storage/index.js';
import type { CompiledExpression } from './compiledExpression.js';

/** Folds the values of many rows into one. */
export abstract class Aggregate {
  constructor(readonly argument: CompiledExpression | undefined) {}

  abstract readonly type: ColumnType;
  abstract readonly initial: SqlValue;
  /** Adds a value other than null. */
  abstract add(total: SqlValue, value: SqlValue): SqlValue;
}

/** Counts rows, or values other than null. */
export class CountAggregate extends Aggregate {
  override readonly type = ColumnType.BigInteger;
  override readonly initial = 0;

  override add(total: SqlValue): SqlValue {
    return Number(total) + 1;
  }
}

/** Adds numbers up. */
export class SumAggregate extends Aggregate {
  override readonly initial = undefined;

  override get type(): ColumnType {
    const type = this.argument?.type;
    if (type === ColumnType.Double) {
      return type;
    }
    return type === ColumnType.Integer ? ColumnType.BigInteger : ColumnType.Numeric;
  }

  override add(total: SqlValue, value: SqlValue): SqlValue {
    return Number(total ?? 0) + Number(value);
  }
}

/** Finds the least or greatest value. */
export class ExtremeAggregate extends Aggregate {
  override readonly initial = undefined;

  constructor(
    argument: CompiledExpression | undefined,
    private readonly isGreatest: boolean,
  ) {
    super(argument);
  }

  override get type(): ColumnType {
    return this.argument?.type ?? ColumnType.Text;
  }

  override add(total: SqlValue, value: SqlValue): SqlValue {
    if (total === undefined || value === undefined) {
      return total ?? value;
    }
    return value > total === this.isGreatest ? value : total;
  }
}

/** Creates an aggregate by its SQL name; absent for other functions. */
export function tryCreateAggregate(
  name: string,
  argument: CompiledExpression | undefined,
): Aggregate | undefined {
  switch (name) {
    case 'count':
      return new CountAggregate(argument);
    case 'sum':
      return new SumAggregate(argument);
    case 'min':
      return new ExtremeAggregate(argument, false);
    case 'max':
      return new ExtremeAggregate(argument, true);
    default:
      return undefined;
  }
}
