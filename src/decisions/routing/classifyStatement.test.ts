import { expect, test } from 'vitest';
import { classifyStatement } from './index.js';

function classify(sql: string): string {
  const { kind, unclassified, controlsTransaction, feature, parameter, value } =
    classifyStatement(sql);
  const marks = [
    unclassified ? 'unclassified' : undefined,
    controlsTransaction ? 'controls transaction' : undefined,
    feature,
    parameter,
    value,
  ];
  return [kind, ...marks.filter((mark) => mark !== undefined)].join(' | ');
}

test.each([
  'SELECT 1',
  'select count(*) from deliveries where id = $1 -- comment',
  'SELECT * FROM deliveries FOR UPDATE',
  'SELECT nextval($$s$$)',
  'SELECT my_function()',
  'SELECT pg_advisory_lock(1)',
  'WITH x AS (INSERT INTO a VALUES (1) RETURNING id) SELECT * FROM x',
  'INSERT INTO a VALUES (1)',
  "UPDATE a SET b = 'begin; commit'",
  'BEGIN',
  'start transaction read only',
  'COMMIT',
  'END',
  'ROLLBACK',
  'ROLLBACK TO SAVEPOINT s',
  'BEGIN; INSERT INTO a VALUES (1); COMMIT',
  'INSERT INTO a VALUES (1); SELECT 1',
  "COMMIT PREPARED 'x'",
  "SET filbertpoint.session = 'a''b'",
  'SET statement_timeout TO 500',
  'RESET ALL',
  'SET LOCAL x = 1',
  'SET x = 1; SELECT 1',
  'SHOW filbertpoint.session',
  'DISCARD ALL',
  'COPY a FROM STDIN',
  'LISTEN x',
  "SELECT '/*'; DELETE FROM a; SELECT '*/'",
  "SELECT '--'; DELETE FROM a",
  '-- first\n /* second */ INSERT INTO a VALUES (1)',
  'CREATE TEMP TABLE a (id int)',
  'PREPARE p AS SELECT 1',
  'DO $$ BEGIN PERFORM 1; END $$',
  '',
  ' ; ',
  '/* only */ -- comments',
])('classifies %j', (sql) => {
  expect(classify(sql)).toMatchSnapshot();
});
