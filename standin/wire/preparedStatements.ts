import {
  Diagnostics,
  parseStatements,
  sqlFault,
  type ParsedStatement,
  type StatementResult,
} from '../sql/index.js';
import type { ColumnType } from '../storage/index.js';
import type { BindMessage, ParseMessage } from './frontendMessages.js';

/** A prepared statement; one without a statement is an empty query. */
export interface PreparedStatement {
  readonly statement: ParsedStatement | undefined;
  readonly parameterTypes: readonly (ColumnType | undefined)[];
}

/** A prepared statement with its parameters and, once run, its result. */
export interface Portal {
  readonly prepared: PreparedStatement;
  readonly parameters: readonly (string | undefined)[];
  result: StatementResult | undefined;
  /** The number of rows already given. */
  given: number;
}

/** The prepared statements and portals of one session. */
export class PreparedStatements {
  private readonly statements = new Map<string, PreparedStatement>();
  private readonly portals = new Map<string, Portal>();

  /** Prepares a statement; `getTypes` checks it and tells its parameters' types. */
  parse(
    { name, text }: ParseMessage,
    getTypes: (statement: ParsedStatement) => readonly (ColumnType | undefined)[],
  ): void {
    if (name !== '' && this.statements.has(name)) {
      throw sqlFault(Diagnostics.SqlStatementExists, { name });
    }
    const parsed = parseStatements(text);
    if (parsed.length > 1) {
      throw sqlFault(Diagnostics.SqlSeveralStatements);
    }
    const [statement] = parsed;
    const parameterTypes = statement === undefined ? [] : getTypes(statement);
    this.statements.set(name, { statement, parameterTypes });
  }

  /** Binds parameters to a prepared statement. */
  bind({ portal, statement, parameters }: BindMessage): void {
    const prepared = this.getStatement(statement);
    const needed = prepared.parameterTypes.length;
    if (parameters.length !== needed) {
      throw sqlFault(Diagnostics.SqlParameterCount, { given: parameters.length, needed });
    }
    this.portals.set(portal, { prepared, parameters, result: undefined, given: 0 });
  }

  /** Finds a prepared statement; throws a fault where there is none. */
  getStatement(name: string): PreparedStatement {
    const found = this.statements.get(name);
    if (found === undefined) {
      throw sqlFault(Diagnostics.SqlStatementUnknown, { name });
    }
    return found;
  }

  /** Finds a portal; throws a fault where there is none. */
  getPortal(name: string): Portal {
    const found = this.portals.get(name);
    if (found === undefined) {
      throw sqlFault(Diagnostics.SqlPortalUnknown, { name });
    }
    return found;
  }

  /** Forgets a prepared statement. */
  closeStatement(name: string): void {
    this.statements.delete(name);
  }

  /** Forgets a portal. */
  closePortal(name: string): void {
    this.portals.delete(name);
  }

  /** Forgets all portals, at the end of a transaction. */
  closePortals(): void {
    this.portals.clear();
  }

  /** Forgets one prepared statement, or all; one that is not there is a fault. */
  deallocate(name: string | undefined): void {
    if (name === undefined) {
      this.statements.clear();
      return;
    }
    this.getStatement(name);
    this.statements.delete(name);
  }
}
