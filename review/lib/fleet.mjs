// A small deployment: daemons as processes of their own, with the commands of deploy/system.toml and
// settings as in DEPLOY.md, beside stand-in instances, a stand-in platform and an operator.
import { spawn } from 'node:child_process';
import { appendFileSync, mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  callControl,
  LineGroup,
  LinePlatform,
  StatementWatch,
} from '../../dist/standin/lines/index.js';
import { SystemTimerService } from '../../dist/src/common/timer/index.js';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
const COMMAND = ['--max-old-space-size=160', '--max-semi-space-size=2', 'target/filbertpoint.cjs'];
const ZONES = ['north-a', 'north-b', 'north-c'];
const KEY = 'u6wsjnbanfqasnmgkcuy';
const HEARTBEAT_MS = 1200;

/** Values of the bounds, as the site files of the milestone give them. */
export const BOUNDS = {
  contactMs: 4000,
  ackMs: 5000,
  configApplyMs: 3000,
  revokeMs: 5000,
  outerMs: 12_000,
  evacuateMs: 5000,
};

export const hasTrouble = process.env.TROUBLE !== '0';

export function sleep(durationMs) {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Writes what was sent, answered and run, with the time since the start in seconds. */
export class Record {
  constructor(folder) {
    this.file = join(folder, 'record.txt');
    this.lines = [];
    writeFileSync(this.file, '');
  }

  add(text) {
    const line = `${(performance.now() / 1000).toFixed(3)} ${text}\n`;
    this.lines.push(line);
    if (this.lines.length >= 100) {
      this.flush();
    }
  }

  flush() {
    appendFileSync(this.file, this.lines.join(''));
    this.lines = [];
  }
}

class Watch extends StatementWatch {
  constructor(record) {
    super();
    this.record = record;
    this.seen = [];
  }

  see({ instance, domain, account, id, text }) {
    if (id !== '-') {
      this.seen.push({ atMs: performance.now(), instance, domain, account, id, text });
      this.record.add(`run at ${instance} in ${domain} for ${account}: ${id} ${text}`);
    }
  }
}

export class Fleet {
  constructor(folder, { controls = 3, entries = 3 } = {}) {
    this.record = new Record(folder);
    this.watch = new Watch(this.record);
    this.timer = new SystemTimerService();
    this.folder = mkdtempSync(join(tmpdir(), 'filbertpoint-review-'));
    this.network = 20 + (process.pid % 200);
    this.controlCount = controls;
    this.entryCount = entries;
    this.daemons = [];
  }

  /** Starts everything and puts a first manifest in force. */
  async start(manifest = {}) {
    const port = await this.findPort();
    for (let index = 0; index < this.controlCount + this.entryCount; index += 1) {
      this.daemons.push(this.planDaemon(index, port));
    }
    const times = { workMs: 5, lagMs: 20, promoteMs: 600 };
    const options = { service: 'ledger1', slots: 5, connectionLimit: 54, ...times };
    this.group = new LineGroup(options, this.timer, this.watch);
    for (const [index, zone] of ZONES.entries()) {
      const address = `127.${this.network}.2.${index + 1}:${port}`;
      await this.group.add(`i-${index + 1}`, zone, address).start();
    }
    this.controls = this.daemons.filter(({ isControl }) => isControl);
    this.entries = this.daemons.filter(({ isControl }) => !isControl);
    this.platform = new LinePlatform(
      `127.${this.network}.3.1:${port}`,
      [this.group],
      this.controls.map(({ control }) => control),
      ({ address }) => address,
      this.timer,
    );
    await this.platform.start(HEARTBEAT_MS);
    for (const daemon of this.daemons) {
      this.startDaemon(daemon, true);
    }
    await this.configure(manifest);
  }

  startDaemon(daemon, isFirst) {
    const file = join(this.folder, `${daemon.node}.toml`);
    writeFileSync(file, this.formatSettings(daemon, isFirst));
    const log = openSync(join(this.folder, `${daemon.node}.log`), 'a');
    const { PATH, HOME } = process.env;
    daemon.child = spawn('node', COMMAND, {
      cwd: ROOT,
      env: { PATH, HOME, FILBERTPOINT_SETTINGS: file },
      stdio: ['ignore', log, log],
    });
    daemon.child.on('exit', (code, signal) => {
      this.record.add(`${daemon.node} ended: code ${code}, signal ${signal}`);
    });
  }

  signal(daemon, signal) {
    this.record.add(`${signal} to ${daemon.node}`);
    daemon.child.kill(signal);
  }

  /** Ends all processes and removes the files. */
  async stop() {
    for (const { child } of this.daemons) {
      child?.kill('SIGKILL');
    }
    await this.platform?.stop();
    for (const instance of this.group?.instances ?? []) {
      await instance.stop();
    }
    if (process.env.KEEP === undefined) {
      rmSync(this.folder, { recursive: true, force: true });
    }
    this.record.flush();
  }

  /** Calls one daemon as the operator does: a second without an answer ends the attempt. */
  async call(daemon, method, path, body = '') {
    this.record.add(`operator sends ${method} ${path} to ${daemon.node}`);
    const { status } = await callControl(daemon.control, method, `/filbertpoint/${path}`, body);
    const answer = status === 0 ? 'no answer' : `${status}`;
    this.record.add(`operator gets ${answer} from ${daemon.node} for ${path}`);
    return { status, atMs: performance.now() };
  }

  /** Sends an order to the given daemons in turn, until one acknowledges it; the time of that. */
  async order(daemons, path, body = '') {
    for (let attempt = 0; attempt < 150; attempt += 1) {
      const daemon = daemons[Math.min(attempt, daemons.length - 1)];
      const { status, atMs } = await this.call(daemon, 'POST', path, body);
      if (status === 200) {
        return atMs;
      }
      await sleep(100);
    }
    throw new Error(`no acknowledgement for ${path}`);
  }

  configure(manifest) {
    return this.order(
      Array.from({ length: 150 }, (_, index) => this.controls[index % this.controls.length]),
      'Config.Replace',
      JSON.stringify(createManifest(manifest)),
    );
  }

  /** Waits until a statement succeeds at each entry daemon. */
  async waitUntilServing(database = 'latest', key = KEY) {
    for (const entry of this.entries) {
      for (let attempt = 0; ; attempt += 1) {
        const client = await Client.open(this, entry, database, key);
        const { error } = await client.query('PUT ready yes');
        client.close();
        if (error === undefined) {
          break;
        }
        if (attempt > 100) {
          throw new Error(`${entry.node} does not serve`);
        }
        await sleep(200);
      }
    }
  }

  planDaemon(index, port) {
    const isControl = index < this.controlCount;
    const ip = `127.${this.network}.0.${index + 1}`;
    const node = isControl ? `core-${index + 1}` : `edge-${index - this.controlCount + 1}`;
    const zone = ZONES[index % ZONES.length];
    const dataDir = join(this.folder, node);
    mkdirSync(dataDir);
    const listen = isControl
      ? { control: `${ip}:${port + 17}` }
      : { frontend: `${ip}:${port + 18}`, readiness: `${ip}:${port + 19}` };
    return { node, ip, zone, port, isControl, dataDir, ...listen };
  }

  formatSettings({ node, ip, zone, port, isControl, dataDir, ...daemon }, isFirst) {
    const seeds = this.controls.slice(0, 3);
    const quote = (values) => values.map((value) => `"${value}"`).join(', ');
    return [
      `node = "${node}"`,
      `role = "${isControl ? 'control' : 'entry'}"`,
      `class = "${isControl ? 'core' : 'edge'}"`,
      `serves = ["${isControl ? 'control' : 'edge'}"]`,
      `ip = "${ip}"`,
      `zone = "${zone}"`,
      'region = "north"',
      `internalPorts = [${port}, ${port + 15}]`,
      `seeds = [${quote(seeds.map(({ control }) => control))}]`,
      `bootstrap = ${isFirst}`,
      'inTolerance = false',
      'discovery = "registry"',
      'entry = "vip"',
      `heartbeatMs = ${HEARTBEAT_MS}`,
      'config_mode = "highest"',
      ...(isControl ? [`dataDir = "${dataDir}"`] : []),
      '[zones]',
      ...ZONES.map((each) => `${each} = "north"`),
      '[listen]',
      ...(isControl
        ? [`control = "${daemon.control}"`]
        : [`frontend = "${daemon.frontend}"`, `readiness = "${daemon.readiness}"`]),
      '[limits]',
      'cpuQuota = 0.675',
      'cores = 1',
      'memoryMb = 350',
      'maxFds = 4200',
      'linkMbps = 1000.0',
      'diskMb = 128',
      '[faultTolerance]',
      'machines = 1',
      'zones = 1',
      'regions = 0',
      '[bounds]',
      'seedLagS = 3',
      'graceS = 6',
      'drainMs = 7000',
      'fencing = true',
      ...Object.entries(BOUNDS).map(([name, value]) => `${name} = ${value}`),
      '[cloudApi]',
      `addr = "${this.platform.address}"`,
      'ratePerS = 50.0',
      'duties = ["failover"]',
      'dutyPerS = 50.0',
      // All hosts are on one machine: their local interfaces need addresses of their own.
      '[mesh]',
      `members = [${seeds.map((each) => `{ ip = "${each.ip}", address = "${each.ip}:${port}" }`).join(', ')}]`,
      `advertise = "${ip}:${port}"`,
      `operators = "${ip}:${port + 1}"`,
      '',
    ].join('\n');
  }

  /** A port that is free, with those after it, on every address of the fleet. */
  async findPort() {
    const hosts = Array.from({ length: 8 }, (_, index) => `127.${this.network}.0.${index + 1}`);
    for (let attempt = 0; attempt < 50; attempt += 1) {
      const port = 20_000 + Math.floor(Math.random() * 10_000);
      const checks = hosts.flatMap((ip) =>
        [0, 1, 17, 18, 19].map((each) => isFree(ip, port + each)),
      );
      if ((await Promise.all(checks)).every(Boolean)) {
        return port;
      }
    }
    throw new Error('no free ports');
  }
}

/** A caller of the line protocol, with one statement at a time. */
export class Client {
  static count = 0;

  static async open(fleet, entry, database = 'bounded', key = KEY) {
    const { connect } = await import('node:net');
    const client = new Client();
    Client.count += 1;
    client.name = `c${Client.count}`;
    client.record = fleet.record;
    client.statements = 0;
    client.isClosed = false;
    client.text = '';
    client.rows = [];
    const [host, port] = entry.frontend.split(':');
    client.socket = connect({ host, port: Number(port), noDelay: true });
    client.socket.setEncoding('latin1');
    client.socket.on('data', (text) => client.receive(text));
    client.socket.on('error', () => client.close());
    client.socket.on('close', () => client.close());
    fleet.record.add(`${client.name} sends CONNECT ${database} to ${entry.node}`);
    await client.send(`CONNECT ${database} ${key}`);
    return client;
  }

  /** Sends a statement; resolves with its id, its rows and the code of an error. */
  async query(text) {
    this.statements += 1;
    const id = `${this.name}-${this.statements}`;
    this.record.add(`${this.name} sends ${id} ${text.slice(0, 100)}`);
    const reply = await this.send(`QUERY ${id} ${text}`);
    this.record.add(`${this.name} gets for ${id}: ${reply.error ?? 'success'}`);
    return { id, ...reply };
  }

  close() {
    this.isClosed = true;
    this.socket.destroy();
    this.finish('CLOSED');
  }

  send(line) {
    return new Promise((resolve) => {
      if (this.isClosed) {
        resolve({ error: 'CLOSED', rows: [] });
        return;
      }
      this.resolve = resolve;
      this.error = undefined;
      this.rows = [];
      this.timeout = setTimeout(() => this.close(), 8000);
      this.socket.write(`${line}\r\n`, 'latin1');
    });
  }

  receive(text) {
    const lines = (this.text + text).split('\r\n');
    this.text = lines.pop() ?? '';
    for (const line of lines) {
      if (this.resolve === undefined) {
        // A client closes its session on a message that it did not ask for.
        this.close();
        return;
      }
      const [word, first = '', ...rest] = line.split(' ');
      if (word === 'ROW') {
        this.rows.push([first, ...rest].join(' '));
      } else if (word === 'ERROR') {
        this.error = first;
      } else if (word === 'READY') {
        this.status = first;
        this.finish(this.error);
      }
    }
  }

  finish(error) {
    const { resolve, rows } = this;
    this.resolve = undefined;
    clearTimeout(this.timeout);
    resolve?.({ error, rows });
  }
}

/** Reads every `pauseMs` at an entry daemon until `isOver` tells the end; connects again if needed. */
export async function readAlong(fleet, entry, pauseMs, isOver) {
  let client = await Client.open(fleet, entry);
  while (!isOver()) {
    const { error } = await client.query('FETCH 1a4');
    if (error !== undefined) {
      client.close();
      client = await Client.open(fleet, entry);
    }
    await sleep(pauseMs);
  }
  client.close();
}

function createManifest({ version = 1, tenants, txIdleMs = 3000, timeoutMs = 1000 }) {
  const shared = { prefix: '/', timeoutMs, priority: 1, service: 'ledger1', attempts: 2 };
  const route = { ...shared, targetLatencyMs: 400, public: false };
  return {
    version,
    routes: [
      { name: 'r-1', host: 'latest', kind: 'primary', ...route },
      { name: 'r-2', host: 'bounded', kind: 'bounded', maxStalenessMs: 1500, ...route },
      { name: 'r-3', host: 'session', kind: 'read_your_writes', maxStalenessMs: 2500, ...route },
    ],
    services: [
      {
        ...{ name: 'ledger1', healthPath: '/healthz', maxConns: 54, proto: 'h1', tls: false },
        ...{ warmupS: 0, warmupPerS: 0, syncReplicas: 1 },
      },
    ],
    limits: {
      ...{ maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000 },
      ...{ idleTimeoutMs: 15_000, txIdleMs },
    },
    tenants: tenants ?? [
      { name: 'nypu920', apiKeys: [KEY], priority: 1, ratePerS: 1000, burst: 1000 },
    ],
  };
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Longest time that a case may take. */
const CASE_LIMIT_MS = 115_000;

/** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(url, play, size) {
  const fleet = new Fleet(dirname(fileURLToPath(url)), size);
  const abort = (reason) => {
    fleet.record.add(`the case could not run: ${reason}`);
    fleet.record.flush();
    for (const { child } of fleet.daemons) {
      child?.kill('SIGKILL');
    }
    process.exit(2);
  };
  process.on('SIGTERM', abort);
  process.on('SIGINT', abort);
  setTimeout(() => abort('it took too long'), CASE_LIMIT_MS);
  let status = 2;
  try {
    status = (await play(fleet)) ? 1 : 0;
  } catch (error) {
    fleet.record.add(`the case could not run: ${error.stack}`);
    console.error(error);
  }
  await fleet.stop().catch(() => undefined);
  console.log(['the rule held', 'the rule was broken', 'the case could not run'][status]);
  process.exit(status);
}
