import type { ColumnType, LockTable, Row, Table, Transaction } from '../storage/index.js';
import type { CompiledExpression } from './compiledExpression.js';
import type { EvaluationContext } from './evaluationContext.js';

/** A column of a result. */
export interface ResultColumn {
  readonly name: string;
  readonly type: ColumnType;
}

/** What a statement gave. */
export interface StatementResult {
  /** The text of CommandComplete; a row count is appended to it where one belongs. */
  readonly tag: string;
  readonly rows: readonly Row[];
}

/** A run's result, or the transaction whose end must be awaited before another try. */
export type PlanOutcome =
  | { readonly kind: 'done'; readonly result: StatementResult }
  | { readonly kind: 'blocked'; readonly by: Transaction };

/** What a plan runs in. */
export interface PlanRun {
  readonly transaction: Transaction;
  readonly locks: LockTable;
  readonly context: EvaluationContext;
}

/** What every plan has in common. */
export interface PlanFacts {
  /** The SQL command, such as `INSERT`. */
  readonly command: string;
  readonly isWrite: boolean;
  /** Whether it takes a slot and service time. */
  readonly isOrdinaryWork: boolean;
  readonly columns: readonly ResultColumn[];
  readonly parameterTypes: readonly (ColumnType | undefined)[];
  /** Durations in seconds to wait for before the plan runs. */
  readonly sleeps: readonly CompiledExpression[];
}

/** A compiled statement. */
export abstract class Plan {
  constructor(
    readonly facts: PlanFacts,
    /** The table that the plan was compiled for. */
    readonly table: Table | undefined,
  ) {}

  /** Runs once; has no effect when it is blocked. */
  abstract run(run: PlanRun): PlanOutcome;

  /** Whether the plan's table is still the one that the transaction sees. */
  isCurrent(transaction: Transaction): boolean {
    return (
      this.table === undefined || transaction.tryGetTable(this.table.definition.name) === this.table
    );
  }
}

/** Creates the outcome of a completed run. */
export function done(tag: string, rows: readonly Row[] = []): PlanOutcome {
  return { kind: 'done', result: { tag, rows } };
}
