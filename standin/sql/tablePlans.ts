import type { CreateColumnDef, CreateTableStatement, DropStatement, Expr } from 'pgsql-ast-parser';
import {
  coerce,
  ColumnType,
  getTableLock,
  tryGetColumnType,
  type ColumnDefault,
  type ColumnDefinition,
  type TableDefinition,
  type UniqueKey,
} from '../storage/index.js';
import { compileExpression } from './compileExpression.js';
import { CompileScope } from './compileScope.js';
import { done, Plan, type PlanFacts, type PlanOutcome, type PlanRun } from './plan.js';
import { Diagnostics, sqlFault } from './sqlFault.js';

/** A CREATE TABLE. */
export class CreateTablePlan extends Plan {
  constructor(
    private readonly definition: TableDefinition,
    private readonly ifNotExists: boolean,
  ) {
    super(createFacts('CREATE TABLE'), undefined);
  }

  override run({ transaction, locks }: PlanRun): PlanOutcome {
    const { name } = this.definition;
    const lock = [getTableLock(name)];
    const by = locks.findConflict(lock, transaction);
    if (by !== undefined) {
      return { kind: 'blocked', by };
    }
    if (transaction.tryGetTable(name) === undefined) {
      locks.acquire(lock, transaction);
      transaction.createTable(this.definition);
    } else if (!this.ifNotExists) {
      throw sqlFault(Diagnostics.SqlTableExists, { table: name });
    }
    return done(this.facts.command);
  }
}

/** A DROP TABLE. */
export class DropTablePlan extends Plan {
  constructor(
    private readonly names: readonly string[],
    private readonly ifExists: boolean,
  ) {
    super(createFacts('DROP TABLE'), undefined);
  }

  override run({ transaction, locks }: PlanRun): PlanOutcome {
    const tableLocks = this.names.map(getTableLock);
    const by = locks.findConflict(tableLocks, transaction);
    if (by !== undefined) {
      return { kind: 'blocked', by };
    }
    for (const table of this.names) {
      if (transaction.tryGetTable(table) !== undefined) {
        transaction.dropTable(table);
      } else if (!this.ifExists) {
        throw sqlFault(Diagnostics.SqlTableUnknown, { table });
      }
    }
    locks.acquire(tableLocks, transaction);
    return done(this.facts.command);
  }
}

/** Compiles a CREATE TABLE. */
export function compileCreateTable(statement: CreateTableStatement): CreateTablePlan {
  if (statement.temporary) {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature: 'CREATE TEMPORARY TABLE' });
  }
  const name = statement.name.name;
  const parts = statement.columns.map((column) => {
    if (column.kind !== 'column') {
      throw sqlFault(Diagnostics.SqlUnsupported, { feature: 'CREATE TABLE LIKE' });
    }
    return column;
  });
  const uniqueKeys = findUniqueKeys(name, parts, statement);
  const primary = uniqueKeys.find((key) => key.name === getPrimaryKeyName(name));
  const columns = parts.map((part, index) =>
    createColumn(part, primary?.columns.includes(index) ?? false),
  );
  return new CreateTablePlan({ name, columns, uniqueKeys }, statement.ifNotExists ?? false);
}

/** Compiles a DROP TABLE. */
export function compileDropTable(statement: DropStatement): DropTablePlan {
  const names = statement.names.map(({ name }) => name);
  return new DropTablePlan(names, statement.ifExists ?? false);
}

function createFacts(command: string): PlanFacts {
  return {
    command,
    isWrite: true,
    isOrdinaryWork: true,
    columns: [],
    parameterTypes: [],
    sleeps: [],
  };
}

function getPrimaryKeyName(table: string): string {
  return `${table}_pkey`;
}

function findUniqueKeys(
  table: string,
  columns: readonly CreateColumnDef[],
  statement: CreateTableStatement,
): UniqueKey[] {
  const keys: UniqueKey[] = [];
  const add = (isPrimary: boolean, names: readonly string[]): void => {
    const indexes = names.map((name) => columns.findIndex((column) => column.name.name === name));
    if (indexes.includes(-1)) {
      throw sqlFault(Diagnostics.SqlColumnUnknown, { column: names.join(', ') });
    }
    const name = isPrimary ? getPrimaryKeyName(table) : `${table}_${names.join('_')}_key`;
    keys.push({ name, columns: indexes });
  };
  for (const column of columns) {
    for (const { type } of column.constraints ?? []) {
      if (type === 'primary key' || type === 'unique') {
        add(type === 'primary key', [column.name.name]);
      }
    }
  }
  for (const constraint of statement.constraints ?? []) {
    if (constraint.type !== 'primary key' && constraint.type !== 'unique') {
      throw sqlFault(Diagnostics.SqlUnsupported, { feature: `constraint ${constraint.type}` });
    }
    add(
      constraint.type === 'primary key',
      constraint.columns.map((column) => column.name),
    );
  }
  return keys;
}

function createColumn(part: CreateColumnDef, isKeyed: boolean): ColumnDefinition {
  const typeName = 'name' in part.dataType ? part.dataType.name : 'array';
  const type = tryGetColumnType(typeName);
  if (type === undefined) {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature: `type ${typeName}` });
  }
  const isSerial = typeName === 'serial' || typeName === 'bigserial';
  let notNull = isKeyed || isSerial;
  let value: ColumnDefault = isSerial ? 'sequence' : 'none';
  for (const constraint of part.constraints ?? []) {
    switch (constraint.type) {
      case 'not null':
        notNull = true;
        break;
      case 'default':
        value = readDefault(constraint.default, type);
        break;
      case 'add generated':
        value = 'sequence';
        break;
      case 'reference':
      case 'check':
        throw sqlFault(Diagnostics.SqlUnsupported, { feature: `constraint ${constraint.type}` });
      default:
        break;
    }
  }
  return { name: part.name.name, type, notNull, default: value };
}

function readDefault(expr: Expr, type: ColumnType): ColumnDefault {
  const isTime = type === ColumnType.Timestamp && (expr.type === 'call' || expr.type === 'keyword');
  if (isTime) {
    return 'now';
  }
  const compiled = compileExpression(expr, new CompileScope(undefined, undefined, []));
  if (expr.type === 'call' || !compiled.isConstant) {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature: 'a computed DEFAULT' });
  }
  return { value: coerce(evaluateLiteral(compiled), type) };
}

function evaluateLiteral(compiled: ReturnType<typeof compileExpression>): string | undefined {
  const environment = undefined as never;
  const value = compiled.evaluate([], { parameters: [], environment });
  return value === undefined ? undefined : String(value);
}
