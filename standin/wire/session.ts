import type { Diagnostic } from '../../src/common/diagnostics/index.js';
import type { TimerService, Unsubscribe } from '../../src/common/timer/index.js';
import type { Engine } from '../instance/engine.js';
import { Interruption } from '../instance/interruption.js';
import type { StatementRunner } from '../instance/statementRunner.js';
import {
  Diagnostics,
  sqlFault,
  type Environment,
  type ParsedStatement,
  type Plan,
  type ResultColumn,
  type SessionCommand,
  type StatementResult,
} from '../sql/index.js';
import { ColumnType, type Transaction } from '../storage/index.js';
import { TransactionStatus } from './backendMessages.js';
import type { SessionSettings } from './sessionSettings.js';
import { tryReadDurationMs } from './statementTimeout.js';

/** What a session works with. */
export interface SessionParts {
  readonly engine: Engine;
  readonly runner: StatementRunner;
  readonly timer: TimerService;
  readonly settings: SessionSettings;
  readonly environment: Environment;
  /** Sends a warning to the client. */
  readonly warn: (sqlState: string, text: string) => void;
  /** Forgets one prepared statement, or all. */
  readonly deallocate: (name: string | undefined) => void;
  /** Ends the session after telling the client why. */
  readonly terminate: (diagnostic: Diagnostic) => void;
}

const TEXT_COLUMN = ColumnType.Text;

/** One client's transaction state; runs its statements one after the other. */
export class Session {
  readonly interruption = new Interruption();
  private transaction: Transaction | undefined;
  private isExplicit = false;
  private isFailed = false;
  private isReadOnly = false;
  private endIdleWatch: Unsubscribe | undefined;

  constructor(private readonly parts: SessionParts) {}

  /** The status that ReadyForQuery shows. */
  get status(): TransactionStatus {
    if (!this.isExplicit) {
      return TransactionStatus.Idle;
    }
    return this.isFailed ? TransactionStatus.Failed : TransactionStatus.InTransaction;
  }

  /** Compiles a data statement as the present transaction sees its tables. */
  compile(statement: ParsedStatement & { kind: 'data' }): Plan {
    this.refuseInFailed();
    const { engine } = this.parts;
    return engine.plans.get(statement.statement, this.transaction ?? engine.begin());
  }

  /** The result columns of a statement. */
  describe(statement: ParsedStatement): readonly ResultColumn[] {
    if (statement.kind === 'data') {
      return this.compile(statement).facts.columns;
    }
    const { command } = statement;
    return command.kind === 'show' ? [{ name: command.name, type: TEXT_COLUMN }] : [];
  }

  /** Runs a statement; outside of a transaction block it begins an implicit one. */
  async run(
    statement: ParsedStatement,
    parameters: readonly (string | undefined)[],
  ): Promise<StatementResult> {
    if (statement.kind === 'session') {
      return this.runCommand(statement.command);
    }
    this.refuseInFailed();
    const { engine, runner, environment } = this.parts;
    const transaction = (this.transaction ??= engine.begin());
    const plan = engine.plans.get(statement.statement, transaction);
    if (plan.facts.isWrite && (engine.isReplica || this.isReadOnly)) {
      throw sqlFault(Diagnostics.SqlReadOnly, { command: plan.facts.command });
    }
    const context = { parameters, environment };
    const endTimeout = this.beginTimeout();
    try {
      const run = { transaction, locks: engine.locks, context };
      return await runner.run(plan, run, this.interruption);
    } finally {
      endTimeout?.();
    }
  }

  /** Commits the implicit transaction, if there is one. */
  endImplicit(): void {
    if (!this.isExplicit) {
      this.end(true);
    }
  }

  /** Marks an error: an implicit transaction is rolled back, a block waits for its end. */
  fail(): void {
    if (this.isExplicit) {
      this.isFailed = true;
      this.rollbackWork();
    } else {
      this.end(false);
    }
  }

  /** Begins to wait for the client's next message; within a transaction only for a set time. */
  beginIdle(): void {
    const timeoutMs = this.readTimeoutMs('idle_in_transaction_session_timeout');
    if (this.isExplicit && timeoutMs > 0) {
      this.endIdleWatch = this.parts.timer.once(timeoutMs, () =>
        this.parts.terminate(Diagnostics.IdleInTransaction),
      );
    }
  }

  /** Ends the wait for the client's next message. */
  endIdle(): void {
    this.endIdleWatch?.();
    this.endIdleWatch = undefined;
  }

  /** Rolls back whatever is open. */
  close(): void {
    this.endIdle();
    this.end(false);
  }

  private end(isCommitted: boolean): void {
    const { engine, settings } = this.parts;
    const { transaction } = this;
    this.transaction = undefined;
    this.isExplicit = false;
    this.isFailed = false;
    this.isReadOnly = false;
    settings.endTransaction(isCommitted);
    if (transaction === undefined) {
      return;
    }
    if (isCommitted && engine.canCommit(transaction)) {
      engine.commit(transaction);
      return;
    }
    engine.rollback(transaction);
    if (isCommitted) {
      throw sqlFault(Diagnostics.InstanceDemoted);
    }
  }

  private rollbackWork(): void {
    if (this.transaction !== undefined) {
      this.parts.engine.rollback(this.transaction);
      this.transaction = undefined;
    }
  }

  private refuseInFailed(): void {
    if (this.isFailed) {
      throw sqlFault(Diagnostics.SqlTransactionFailed);
    }
  }

  private beginTimeout(): (() => void) | undefined {
    const timeoutMs = this.readTimeoutMs('statement_timeout');
    if (timeoutMs <= 0) {
      return undefined;
    }
    return this.parts.timer.once(timeoutMs, () =>
      this.interruption.raise(sqlFault(Diagnostics.SqlStatementTimeout)),
    );
  }

  private readTimeoutMs(name: string): number {
    const text = this.parts.settings.get(name) ?? '0';
    return text === '0' ? 0 : (tryReadDurationMs(text) ?? 0);
  }

  private runCommand(command: SessionCommand): StatementResult {
    if (command.kind !== 'commit' && command.kind !== 'rollback') {
      this.refuseInFailed();
    }
    const { settings, deallocate } = this.parts;
    switch (command.kind) {
      case 'begin':
        return this.begin(command.isReadOnly);
      case 'commit':
      case 'rollback':
        return this.endBlock(command.kind === 'commit');
      case 'set':
        this.checkSetting(command.name, command.value);
        settings.set(command.name, command.value, command.isLocal);
        return { tag: 'SET', rows: [] };
      case 'show':
        return this.show(command.name);
      case 'reset':
        settings.reset(command.name);
        return { tag: 'RESET', rows: [] };
      case 'discard':
        return this.discard();
      case 'deallocate':
        deallocate(command.name);
        return { tag: 'DEALLOCATE', rows: [] };
    }
  }

  private begin(isReadOnly: boolean): StatementResult {
    if (this.isExplicit) {
      this.parts.warn('25001', 'there is already a transaction in progress');
    } else {
      this.isExplicit = true;
      this.isReadOnly = isReadOnly;
      this.parts.settings.beginTransaction();
    }
    return { tag: 'BEGIN', rows: [] };
  }

  private endBlock(isCommit: boolean): StatementResult {
    if (!this.isExplicit) {
      this.parts.warn('25P01', 'there is no transaction in progress');
    }
    const isCommitted = isCommit && !this.isFailed;
    this.end(isCommitted);
    return { tag: isCommitted ? 'COMMIT' : 'ROLLBACK', rows: [] };
  }

  private show(name: string): StatementResult {
    const value = this.parts.settings.get(name);
    if (value === undefined) {
      throw sqlFault(Diagnostics.SqlSettingUnknown, { name });
    }
    return { tag: 'SHOW', rows: [[value]] };
  }

  private discard(): StatementResult {
    if (this.isExplicit) {
      throw sqlFault(Diagnostics.SqlActiveTransaction, { command: 'DISCARD ALL' });
    }
    this.parts.settings.reset(undefined);
    this.parts.deallocate(undefined);
    return { tag: 'DISCARD ALL', rows: [] };
  }

  private checkSetting(name: string, value: string | undefined): void {
    const isDuration = name.endsWith('_timeout') && !name.includes('.') && value !== undefined;
    if (isDuration && tryReadDurationMs(value) === undefined) {
      throw sqlFault(Diagnostics.SqlSettingInvalid, { name, value });
    }
  }
}
