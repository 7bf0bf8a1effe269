import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import pg from 'pg';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { tryReadStandinSettings } from './settings/index.js';

const PROGRAM = 'dist/standin/main.js';

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'standin-'));
});

afterEach(() => rmSync(folder, { recursive: true }));

function writeSettings(extra: string): string {
  const file = join(folder, 'instance.toml');
  const lines = [
    'group = "ledger-1"',
    'instance = "ledger-1-a"',
    'domain = "mekelle"',
    'role = "primary"',
    'listen = "127.0.0.1:0"',
    'http = "127.0.0.1:0"',
    extra,
  ];
  writeFileSync(file, lines.join('\n'));
  return file;
}

function start(file: string): ChildProcess {
  return spawn(process.execPath, [PROGRAM, file], { stdio: ['ignore', 'pipe', 'pipe'] });
}

describe('the stand-in program', () => {
  it('prints one ready line, serves, and ends with status 0 on SIGTERM', async () => {
    const child = start(writeSettings('slots = 3'));
    const output = createInterface({ input: child.stdout ?? process.stdin });
    const [line] = (await once(output, 'line')) as [string];
    const match = /^ready postgres:\/\/(\S+):(\d+) http:\/\/\S+$/.exec(line);
    const client = new pg.Client({ host: match?.[1], port: Number(match?.[2]), user: 'u' });
    client.on('error', () => undefined);
    await client.connect();
    expect((await client.query('SELECT 1 AS a')).rows).toEqual([{ a: 1 }]);
    child.kill('SIGTERM');
    expect(await once(child, 'exit')).toEqual([0, null]);
  });

  it('names the key that is wrong', async () => {
    const child = start(writeSettings('slots = 0'));
    child.stderr?.setEncoding('utf8');
    const [text] = (await once(child.stderr ?? child, 'data')) as [string];
    expect(text).toMatch(/instance\.toml: slots: /);
    expect(await once(child, 'exit')).toEqual([1, null]);
  });
});

describe('settings', () => {
  it.each(['slotz = 1', 'lag_ms = -1', 'role = "king"', 'oops'])('refuse %s', (line) => {
    const file = writeSettings(line);
    const fault = tryReadStandinSettings(file)._unsafeUnwrapErr();
    expect(fault.diagnostic.code).toBe(9032);
  });

  it('of the examples are valid', () => {
    const files = readdirSync('examples/standin');
    expect(files).toHaveLength(3);
    for (const file of files) {
      expect(tryReadStandinSettings(join('examples/standin', file)).isOk()).toBe(true);
    }
  });
});
