import { expect, test } from 'vitest';
import { classifyStatement } from './classifyStatement.js';
import { splitStatements } from './splitStatements.js';
import { StatementKind } from './statementKind.js';

test.each([
  ['SELECT 1; LISTEN x;', ['SELECT 1', 'LISTEN x']],
  ['SELECT \';\'; SELECT "a;b"', ["SELECT ';'", 'SELECT "a;b"']],
  ["SELECT $x$ ; '$x$; SELECT 2 - 1", ["SELECT $x$ ; '$x$", 'SELECT 2 - 1']],
  ['SELECT 1 -- ;\n; /* ; */ SELECT 4 / 2', ['SELECT 1', 'SELECT 4 / 2']],
  ["SELECT 'it''s;'", ["SELECT 'it''s;'"]],
])('%s', (text, parts) => {
  expect(splitStatements(text)).toEqual(parts);
});

test.each(['SELECT 1; LISTEN news', 'SELECT 1; SET a.b = 1; VACUUM', 'VACUUM; COPY t TO STDOUT'])(
  '%s is refused although the parser does not support it',
  (text) => {
    expect(classifyStatement(text).kind).toBe(StatementKind.Refused);
  },
);
