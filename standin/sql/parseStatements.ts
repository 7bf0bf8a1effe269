import { parse } from 'pgsql-ast-parser';
import type { ParsedStatement } from './parsedStatement.js';
import { tryReadSessionCommand } from './sessionCommand.js';
import { splitStatements } from './splitStatements.js';
import { Diagnostics, sqlFault } from './sqlFault.js';

const CACHED_TEXTS = 2000;
const CACHED_TEXT_LENGTH = 4096;
const UNSUPPORTED =
  /^(copy|listen|unlisten|notify|lock|savepoint|release|rollback\s+to|vacuum|analyze|explain|declare|fetch|move|close|call|grant|revoke|prepare|execute|cluster|reindex|checkpoint|merge|set\s+role|set\s+transaction|set\s+session|set\s+constraints)\b/i;

const cache = new Map<string, readonly ParsedStatement[]>();

/** Parses a query text of any number of statements; the result is cached by text. */
export function parseStatements(text: string): readonly ParsedStatement[] {
  const cached = cache.get(text);
  if (cached !== undefined) {
    return cached;
  }
  const statements = splitStatements(text).map(parseOne);
  if (text.length <= CACHED_TEXT_LENGTH) {
    remember(text, statements);
  }
  return statements;
}

function parseOne(text: string): ParsedStatement {
  const trimmed = text.replace(/^(?:\s|--[^\n]*(?:\n|$)|\/\*[\s\S]*?\*\/)+/, '').trimEnd();
  const command = tryReadSessionCommand(trimmed);
  if (command !== undefined) {
    return { kind: 'session', command };
  }
  const unsupported = UNSUPPORTED.exec(trimmed);
  if (unsupported !== null) {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature: (unsupported[1] ?? '').toUpperCase() });
  }
  return { kind: 'data', statement: parseData(trimmed) };
}

function parseData(text: string): ReturnType<typeof parse>[number] {
  let statements: ReturnType<typeof parse>;
  try {
    statements = parse(text);
  } catch (cause) {
    const reason = cause instanceof Error ? (cause.message.split('\n', 1)[0] ?? '') : String(cause);
    throw sqlFault(Diagnostics.SqlSyntax, { reason });
  }
  const [statement] = statements;
  if (statement === undefined || statements.length !== 1) {
    throw sqlFault(Diagnostics.SqlSyntax, { reason: 'one statement expected' });
  }
  return statement;
}

function remember(text: string, statements: readonly ParsedStatement[]): void {
  if (cache.size >= CACHED_TEXTS) {
    const oldest = cache.keys().next().value;
    if (oldest !== undefined) {
      cache.delete(oldest);
    }
  }
  cache.set(text, statements);
}
