import { spawn, type ChildProcess } from 'node:child_process';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { SystemTimerService } from '../../src/common/timer/index.js';
import { callControl, LineGroup, LinePlatform } from '../../standin/lines/index.js';
import { findFreePorts } from '../fleet/freePorts.js';
import { LineClient } from '../lines/lineClient.js';
import { createLineConfiguration } from '../lines/lineConfiguration.js';
import { createLinePlan, formatLineSettings, type LinePlan } from '../lines/linePlan.js';

const NETWORK = 118;
/** The kernel counts a process's time in hundredths of a second. */
const TICK_MS = 10;
const USER_TIME_FIELD = 11;
const WARM_UP_MS = 3000;
const READY_ATTEMPTS = 300;
const READY_SPACING_MS = 50;
const GROUP = { service: 'ledger1', slots: 32, connectionLimit: 64, workMs: 0 };
const TIMES = { lagMs: 1, promoteMs: 100 };
const LIMIT = { rate: 1_000_000, burst: 1_000_000 };

const options = await yargs(hideBin(process.argv))
  .scriptName('relay')
  .usage('$0 [options]\n\nStatements through a bare relay and through a fleet, in one run.')
  .option('sessions', { type: 'number', default: 8, describe: 'Sessions, one statement at once.' })
  .option('seconds', { type: 'number', default: 8, describe: 'Time measured for each row.' })
  .strict()
  .parse();

const timer = new SystemTimerService();
const folder = mkdtempSync(join(tmpdir(), 'filbertpoint-relay-'));
const children: ChildProcess[] = [];

/** User and system time of a process, in milliseconds. */
function getProcessorMs(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'latin1');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[USER_TIME_FIELD + 1])) * TICK_MS;
}

function run(program: string, words: readonly string[], settings = ''): number {
  const file = join(import.meta.dirname, program);
  const child = spawn(process.execPath, ['--max-semi-space-size=2', file, ...words], {
    stdio: ['ignore', 'ignore', 'inherit'],
    env: { PATH: process.env.PATH, FILBERTPOINT_SETTINGS: settings },
  });
  children.push(child);
  return child.pid ?? 0;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    timer.once(durationMs, () => resolve());
  });
}

async function waitFor(isTrue: () => Promise<boolean>): Promise<void> {
  for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
    if (await isTrue()) {
      return;
    }
    await sleep(READY_SPACING_MS);
  }
  throw new Error('the fleet did not become ready in time');
}

async function isServing(address: string, database: string): Promise<boolean> {
  const client = await LineClient.open(address, database, 'key', 'ready', timer);
  const { reply } = await client.query('PUT item-0 ready');
  client.close();
  return reply !== undefined && reply.error === undefined;
}

/** Runs sessions for a time and prints their rate, latency and the processor time of the processes. */
async function measure(name: string, address: string, text: string, pids: readonly number[]) {
  const latencies: number[] = [];
  let isMeasuring = false;
  let isOver = false;
  const sessions = Array.from({ length: options.sessions }, async (_, index) => {
    const client = await LineClient.open(address, 'latest-ledger1', 'key', `s${index}`, timer);
    while (!isOver) {
      const sentMs = timer.now();
      const { reply } = await client.query(text);
      if (reply?.error !== undefined || reply === undefined) {
        throw new Error(`${name}: a statement failed: ${reply?.error ?? client.lastError ?? ''}`);
      }
      if (isMeasuring) {
        latencies.push(timer.now() - sentMs);
      }
    }
    client.close();
  });
  await sleep(WARM_UP_MS);
  const before = pids.map(getProcessorMs);
  isMeasuring = true;
  await sleep(options.seconds * 1000);
  isMeasuring = false;
  const usedMs = pids.map((pid, index) => getProcessorMs(pid) - (before[index] ?? 0));
  isOver = true;
  await Promise.all(sessions);
  latencies.sort((left, right) => left - right);
  const rate = (latencies.length / options.seconds).toFixed(0);
  const median = (latencies[Math.floor(latencies.length / 2)] ?? 0).toFixed(2);
  const each = usedMs.map((ms) => ((ms * 1000) / latencies.length).toFixed(0)).join(' + ');
  process.stdout.write(`${name}: ${rate} statements/s, median ${median} ms, ${each} us each\n`);
}

async function startFleet(plan: LinePlan): Promise<readonly number[]> {
  const pids = plan.daemons.map((daemon) => {
    const data = join(folder, daemon.node);
    mkdirSync(data, { recursive: true });
    const file = join(folder, `${daemon.node}.toml`);
    writeFileSync(file, formatLineSettings(plan, daemon, data, true));
    return run('../../platform/start.js', [], file);
  });
  const body = createLineConfiguration(plan, { version: 1, accounts: { mill: ['key'] }, ...LIMIT });
  const control = plan.daemons.find((daemon) => daemon.control !== undefined)?.control ?? '';
  await waitFor(async () => {
    const reply = await callControl(control, 'POST', '/filbertpoint/Config.Replace', body);
    return reply.status === 200;
  });
  for (const { frontend } of plan.daemons) {
    if (frontend !== undefined) {
      await waitFor(() => isServing(frontend, 'latest-ledger1'));
    }
  }
  return pids;
}

const plan = await createLinePlan({ controls: 1, entries: 2, groups: 1, network: NETWORK });
const group = new LineGroup({ ...GROUP, ...TIMES }, timer);
for (const { id, domain, address } of plan.instances) {
  await group.add(id, domain, address).start();
}
const controls = plan.daemons.map(({ control }) => control).filter((each) => each !== undefined);
const platform = new LinePlatform(
  plan.platform,
  [group],
  controls,
  ({ address }) => address,
  timer,
);
await platform.start(300);
try {
  const ip = `127.${NETWORK}.4.1`;
  const [port = 0] = await findFreePorts(ip, 1);
  const primary = plan.instances[0];
  const relay = run('relayStub.js', [
    `${ip}:${port}`,
    primary?.address ?? '',
    `CONNECT ${primary?.service ?? ''} mill ${primary?.id ?? ''}`,
  ]);
  await waitFor(() => isServing(`${ip}:${port}`, 'latest-ledger1'));
  const [control = 0, first = 0, second = 0] = await startFleet(plan);
  const entries = plan.daemons.flatMap(({ frontend }) => frontend ?? []);
  for (const text of ['FETCH item-0', 'PUT item-0 data']) {
    await measure(`${text}, bare relay`, `${ip}:${port}`, text, [relay]);
    for (const [index, address] of entries.entries()) {
      const pids = [first, second, control];
      await measure(`${text}, entry host ${index + 1} (entry 1, 2, control)`, address, text, pids);
    }
  }
} finally {
  for (const child of children) {
    child.kill('SIGKILL');
  }
  await platform.stop();
  await Promise.all(group.instances.map((instance) => instance.stop()));
  rmSync(folder, { recursive: true, force: true });
}
process.exit(0);
