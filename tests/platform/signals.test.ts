import { spawn, spawnSync, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { open } from 'node:fs/promises';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, test } from 'vitest';
import { createLinePlan, formatLineSettings } from '../../bench/lines/linePlan.js';
import { Diagnostics } from '../../src/common/diagnostics/index.js';

const PROGRAM = new URL('../../dist/platform/start.js', import.meta.url).pathname;

/** After it the platform kills. */
const GRACE_MS = 6000;

let folder: string;
let file: string;
let text: string;
let child: ChildProcess;
let ended: Promise<number | string | null>;
let output: string;

beforeEach(async () => {
  folder = mkdtempSync(join(tmpdir(), 'filbertpoint-signals-'));
  file = join(folder, 'node.toml');
  const plan = await createLinePlan({ controls: 1, entries: 0, groups: 1, network: 82 });
  const [daemon] = plan.daemons;
  text = daemon === undefined ? '' : formatLineSettings(plan, daemon, join(folder, 'data'), true);
});

afterEach(async () => {
  child.kill('SIGKILL');
  await ended;
  rmSync(folder, { recursive: true, force: true });
});

function start(): void {
  output = '';
  child = spawn(process.execPath, [PROGRAM], { env: { FILBERTPOINT_SETTINGS: file } });
  child.stdout?.on('data', (bytes: Buffer) => (output += bytes.toString()));
  child.stderr?.on('data', (bytes: Buffer) => (output += bytes.toString()));
  ended = new Promise((resolve) => {
    child.once('close', (code, signal) => resolve(signal ?? code));
  });
}

/** Waits for a line of the log; fails when the process ends before it. */
async function waitFor(code: number): Promise<void> {
  while (!output.includes(`code=FP${code} `)) {
    const end = await Promise.race([ended, new Promise((resolve) => setTimeout(resolve, 20))]);
    expect(end, output).toBeUndefined();
  }
}

test('settings that are half written when they are read again change nothing', async () => {
  writeFileSync(file, text);
  start();
  await waitFor(Diagnostics.DaemonStarted.code);
  writeFileSync(file, text.slice(0, text.length / 2));
  child.kill('SIGHUP');
  await waitFor(Diagnostics.SettingsUnreadable.code);
  writeFileSync(file, text);
  child.kill('SIGHUP');
  await waitFor(Diagnostics.SettingsReloaded.code);
});

test('a second SIGTERM does not cut the stop that the first one began', async () => {
  writeFileSync(file, text);
  start();
  await waitFor(Diagnostics.DaemonStarted.code);
  child.kill('SIGTERM');
  await waitFor(Diagnostics.DaemonStopping.code);
  child.kill('SIGTERM');
  expect(await ended).toBe(0);
});

test('the last lines are written before a process that stops has ended', async () => {
  writeFileSync(file, text);
  start();
  await waitFor(Diagnostics.DaemonStarted.code);
  child.kill('SIGTERM');
  expect(await ended).toBe(0);
  expect(output).toContain(`code=FP${Diagnostics.DaemonStopped.code} `);
});

test('a process that is told to read its settings again while it starts goes on', async () => {
  expect(spawnSync('mkfifo', [file]).status).toBe(0);
  start();
  // Opens once the process reads its settings, which it can't end before they are written.
  const settings = await open(file, 'w');
  child.kill('SIGHUP');
  await settings.writeFile(text);
  await settings.close();
  rmSync(file);
  writeFileSync(file, text);
  await waitFor(Diagnostics.DaemonStarted.code);
});

test('a process has ended when its grace time is over, whatever holds its stop up', async () => {
  writeFileSync(file, text);
  start();
  await waitFor(Diagnostics.OperatorsListening.code);
  const [, host = '', port = ''] = /interface listens on ([\d.]+):(\d+)/.exec(output) ?? [];
  // A connection without a request keeps a server from closing.
  const silent = connect({ host, port: Number(port) });
  silent.on('error', () => undefined);
  await once(silent, 'connect');
  child.kill('SIGTERM');
  const toldMs = performance.now();
  expect(await ended).toBe(0);
  expect(performance.now() - toldMs).toBeLessThan(GRACE_MS);
  silent.destroy();
});

test('a process whose disk fails at its start ends, and does not stay without a part of itself', async () => {
  writeFileSync(file, text);
  // A file where the folder of the log is to be fails like a disk does.
  writeFileSync(join(folder, 'data'), '');
  start();
  expect(await ended).toBe(1);
});
