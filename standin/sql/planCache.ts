import type { Statement } from 'pgsql-ast-parser';
import type { Table, Transaction } from '../storage/index.js';
import { compileDelete, compileUpdate } from './changePlan.js';
import { compileInsert } from './insertPlan.js';
import type { Plan } from './plan.js';
import { compileSelect } from './selectPlan.js';
import { Diagnostics, sqlFault } from './sqlFault.js';
import { compileCreateTable, compileDropTable } from './tablePlans.js';

/** The compiled statements of one instance. */
export class PlanCache {
  private readonly plans = new WeakMap<Statement, Plan>();

  /** Compiles a statement, or takes the plan that was compiled before for the same table. */
  get(statement: Statement, transaction: Transaction): Plan {
    const cached = this.plans.get(statement);
    if (cached?.isCurrent(transaction)) {
      return cached;
    }
    const plan = createPlan(statement, (name) => findTable(name, transaction));
    this.plans.set(statement, plan);
    return plan;
  }
}

function createPlan(statement: Statement, find: (name: string) => Table): Plan {
  switch (statement.type) {
    case 'select':
      return compileSelect(statement, find);
    case 'insert':
      return compileInsert(statement, find);
    case 'update':
      return compileUpdate(statement, find);
    case 'delete':
      return compileDelete(statement, find);
    case 'create table':
      return compileCreateTable(statement);
    case 'drop table':
      return compileDropTable(statement);
    default:
      throw sqlFault(Diagnostics.SqlUnsupported, { feature: statement.type.toUpperCase() });
  }
}

function findTable(name: string, transaction: Transaction): Table {
  const table = transaction.tryGetTable(name);
  if (table === undefined) {
    throw sqlFault(Diagnostics.SqlTableUnknown, { table: name });
  }
  return table;
}
