import { astVisitor, parse, type Statement as ParsedStatement } from 'pgsql-ast-parser';
import { READ_ONLY_FUNCTIONS } from './readOnlyFunctions.js';
import type { Statement } from './statement.js';
import { splitStatements } from './splitStatements.js';
import { StatementKind } from './statementKind.js';

/**
 * Matches comments before the statement. Those inside are left to the parser, which distinguishes
 * them from quoted text.
 */
const LEADING_COMMENTS = /^(?:\s+|--[^\n]*(?:\n|$)|\/\*[^]*?\*\/)+/;
const SET = /^SET\s+(?:SESSION\s+)?([a-z_][\w.]*)\s*(?:=|\s+TO\s)\s*([^]*)$/i;
const RESET = /^RESET\s+([a-z_][\w.]*)$/i;
const SHOW = /^SHOW\s+([a-z_][\w.]*)$/i;
const TEMPORARY = /^CREATE\s+(?:(?:LOCAL|GLOBAL)\s+)?TEMP(?:ORARY)?\b/i;
const SELECT_INTO = /^SELECT\b[^;]*\bINTO\s+TEMP/i;
const SESSION_LOCK = /\bpg_(?:try_)?advisory_lock(?:_shared)?\s*\(/i;
const SET_CONFIG = /\bset_config\s*\(/i;

const KEYWORD_KINDS: ReadonlyMap<string, StatementKind> = new Map([
  ['BEGIN', StatementKind.Begin],
  ['START', StatementKind.Begin],
  ['COMMIT', StatementKind.Commit],
  ['END', StatementKind.Commit],
  ['ROLLBACK', StatementKind.Rollback],
  ['ABORT', StatementKind.Rollback],
]);

const REFUSED_KEYWORDS: ReadonlyMap<string, string> = new Map([
  ['COPY', 'COPY'],
  ['LISTEN', 'LISTEN'],
  ['UNLISTEN', 'UNLISTEN'],
  ['PREPARE', 'SQL-level PREPARE'],
  ['EXECUTE', 'SQL-level EXECUTE'],
  ['DEALLOCATE', 'SQL-level DEALLOCATE'],
  ['DECLARE', 'DECLARE CURSOR'],
  ['LOAD', 'LOAD'],
]);

const SET_AMONG_STATEMENTS = 'SET among several statements';

const TRANSACTION_TYPES: ReadonlySet<string> = new Set([
  'begin',
  'start transaction',
  'commit',
  'rollback',
]);

/**
 * Classifies a statement text; an unclassifiable text counts as a write that must not be retried.
 */
export function classifyStatement(sql: string): Statement {
  const text = sql.replace(LEADING_COMMENTS, '').replace(/[;\s]+$/, '');
  const keyword = /^[a-z]+/i.exec(text)?.[0].toUpperCase() ?? '';
  if (text === '') {
    return createStatement(StatementKind.Empty);
  }
  const refused = findRefusedFeature(keyword, text);
  if (refused !== undefined) {
    return createRefused(refused);
  }
  return (
    classifySetting(keyword, text) ??
    classifyTransactionControl(keyword, text) ??
    classifyParsed(text)
  );
}

function createStatement(kind: StatementKind): Statement {
  return { kind, unclassified: false, controlsTransaction: false };
}

function createRefused(feature: string): Statement {
  return { ...createStatement(StatementKind.Refused), feature };
}

function findRefusedFeature(keyword: string, text: string): string | undefined {
  const feature = REFUSED_KEYWORDS.get(keyword);
  if (feature !== undefined) {
    return feature;
  }
  if (TEMPORARY.test(text) || SELECT_INTO.test(text)) {
    return 'a temporary table';
  }
  if (SESSION_LOCK.test(text)) {
    return 'a session-level advisory lock';
  }
  return SET_CONFIG.test(text) ? 'set_config' : undefined;
}

function classifySetting(keyword: string, text: string): Statement | undefined {
  if (keyword === 'SHOW') {
    const shown = SHOW.exec(text)?.[1];
    return shown === undefined ? undefined : withParameter(StatementKind.Show, shown);
  }
  if (keyword === 'RESET') {
    const reset = RESET.exec(text)?.[1];
    return reset === undefined ? undefined : withParameter(StatementKind.Set, reset);
  }
  if (keyword === 'DISCARD') {
    return withParameter(StatementKind.Set, 'all');
  }
  if (keyword !== 'SET' || /^SET\s+(?:LOCAL|TRANSACTION|CONSTRAINTS)\b/i.test(text)) {
    return undefined;
  }
  const match = SET.exec(text);
  if (match?.[1] === undefined || match[2] === undefined || match[2].includes(';')) {
    return createRefused('this form of SET');
  }
  return withParameter(StatementKind.Set, match[1], readSettingValue(match[2].trim()));
}

function withParameter(kind: StatementKind, name: string, value?: string): Statement {
  const parameter = name.toLowerCase();
  const statement = { ...createStatement(kind), parameter };
  return value === undefined ? statement : { ...statement, value };
}

function readSettingValue(text: string): string | undefined {
  if (/^DEFAULT$/i.test(text)) {
    return undefined;
  }
  const quoted = /^'((?:[^']|'')*)'$/.exec(text)?.[1];
  return quoted === undefined ? text : quoted.replaceAll("''", "'");
}

function classifyTransactionControl(keyword: string, text: string): Statement | undefined {
  if (keyword === 'ROLLBACK' && /^ROLLBACK\s+(?:WORK\s+|TRANSACTION\s+)?TO\b/i.test(text)) {
    return createStatement(StatementKind.Write);
  }
  if (text.includes(';')) {
    return undefined;
  }
  if (/^(?:COMMIT|ROLLBACK|PREPARE)\s+(?:TRANSACTION\s+'|PREPARED)/i.test(text)) {
    return createRefused('two-phase commit');
  }
  const kind = KEYWORD_KINDS.get(keyword);
  return kind === undefined ? undefined : createStatement(kind);
}

function classifyParsed(text: string): Statement {
  let statements: ParsedStatement[];
  try {
    statements = parse(text);
  } catch {
    return classifyUnparsed(text);
  }
  const feature = statements.map(findSessionFeature).find((found) => found !== undefined);
  if (feature !== undefined) {
    return createRefused(feature);
  }
  const kind = statements.every(isReadOnly) ? StatementKind.Read : StatementKind.Write;
  const controlsTransaction = statements.some(({ type }) => TRANSACTION_TYPES.has(type));
  return { ...createStatement(kind), controlsTransaction };
}

function classifyUnparsed(text: string): Statement {
  for (const part of splitStatements(text)) {
    const keyword = /^[a-z]+/i.exec(part)?.[0].toUpperCase() ?? '';
    const setting = classifySetting(keyword, part);
    const isSetting = setting !== undefined && setting.kind !== StatementKind.Show;
    const feature = isSetting ? SET_AMONG_STATEMENTS : findRefusedFeature(keyword, part);
    if (feature !== undefined) {
      return createRefused(feature);
    }
  }
  return { kind: StatementKind.Write, unclassified: true, controlsTransaction: true };
}

function findSessionFeature(statement: ParsedStatement): string | undefined {
  switch (statement.type) {
    case 'set':
      return statement.scope === 'local' ? undefined : SET_AMONG_STATEMENTS;
    case 'set names':
    case 'set timezone':
      return SET_AMONG_STATEMENTS;
    case 'prepare':
    case 'deallocate':
      return 'SQL-level PREPARE';
    case 'create table':
      return statement.temporary === true ? 'a temporary table' : undefined;
    default:
      return undefined;
  }
}

function isReadOnly(statement: ParsedStatement): boolean {
  if (!['select', 'union', 'union all', 'values', 'with'].includes(statement.type)) {
    return false;
  }
  let readOnly = true;
  const markWrite = (): void => {
    readOnly = false;
  };
  const visitor = astVisitor((map) => ({
    call: (call) => {
      readOnly &&= READ_ONLY_FUNCTIONS.has(call.function.name.toLowerCase());
      map.super().call(call);
    },
    selection: (selection) => {
      readOnly &&= selection.for === undefined;
      map.super().selection(selection);
    },
    insert: markWrite,
    update: markWrite,
    delete: markWrite,
  }));
  visitor.statement(statement);
  return readOnly;
}
