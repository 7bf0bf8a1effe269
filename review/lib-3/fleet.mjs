// A small deployment on loopback addresses: the project's own processes, started with the command of
// the deploy file, before stand-in instances, and the platform that promotes and hears heartbeats.
import { spawn } from 'node:child_process';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer as createHttpServer } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, Client, sleep } from './client.mjs';
import { Group, Instance } from './instance.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const ZONES = ['north-a', 'north-b', 'north-c'];
const HEARTBEAT_MS = 1200;
const READY_MS = 30_000;

export class Fleet {
  constructor(folder, { controls = 3, entries = 3, groups = {}, bounds = {}, later = [] } = {}) {
    /** Names of the hosts that are not started with the others. */
    this.later = later;
    this.recordFile = join(folder, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.startMs = Date.now();
    this.folder = mkdtempSync(join(tmpdir(), 'review-3-'));
    this.network = 16 + Math.floor(Math.random() * 200);
    this.bounds = bounds;
    this.groupOptions = groups;
    this.daemons = [];
    this.groups = [];
    this.timers = [];
    this.ids = { controls, entries };
    /** Control hosts in the operator's list, of which settings name three; all if undefined. */
    this.seedHosts = undefined;
  }

  record(text) {
    const ms = String(Date.now() - this.startMs).padStart(6);
    appendFileSync(this.recordFile, `${ms} ${text}\n`);
  }

  async start() {
    this.port = await this.findPort();
    const { controls, entries } = this.ids;
    for (let index = 0; index < controls + entries; index += 1) {
      const isControl = index < controls;
      const number = isControl ? index + 1 : index - controls + 1;
      const ip = this.ip(0, index + 1);
      this.daemons.push({
        node: `${isControl ? 'core' : 'edge'}-${number}`,
        ip,
        isControl,
        zone: ZONES[(number - 1) % ZONES.length],
        ...(isControl
          ? { control: `${ip}:${this.port + 4}` }
          : { frontend: `${ip}:${this.port + 2}`, readiness: `${ip}:${this.port + 3}` }),
      });
    }
    for (const [service, options] of Object.entries(this.groupOptions)) {
      const group = new Group({ service, ...options }, (text) => this.record(text));
      this.groups.push(group);
      for (let index = 0; index < 3; index += 1) {
        const host = this.ip(this.groups.length, index + 1);
        const instance = new Instance(group, `i-${service}-${index + 1}`, ZONES[index], host);
        await instance.start();
      }
      group.instances[0].role = 'primary';
    }
    await this.startPlatform();
    for (const daemon of this.daemons) {
      if (!this.later.includes(daemon.node)) this.startDaemon(daemon, true);
    }
    this.timers.push(setInterval(() => this.beatAll(), HEARTBEAT_MS));
    this.beatAll();
  }

  ip(third, fourth) {
    return `127.${this.network}.${third}.${fourth}`;
  }

  get controls() {
    return this.daemons.filter(({ isControl }) => isControl);
  }

  get entries() {
    return this.daemons.filter(({ isControl }) => !isControl);
  }

  get instances() {
    return this.groups.flatMap(({ instances }) => instances);
  }

  startDaemon(daemon, isFirst = false) {
    const settings = join(this.folder, `${daemon.node}.toml`);
    const data = join(this.folder, daemon.node);
    mkdirSync(data, { recursive: true });
    writeFileSync(settings, this.formatSettings(daemon, data, isFirst));
    const [program, ...words] = readCommand(daemon.isControl ? 'control' : 'entry');
    const log = join(this.folder, `${daemon.node}.log`);
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, FILBERTPOINT_SETTINGS: settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    daemon.child = child;
    child.stdout.on('data', (chunk) => appendFileSync(log, chunk));
    child.stderr.on('data', (chunk) => appendFileSync(log, chunk));
    child.on('exit', (status, signal) => {
      daemon.exit = { status, signal };
      if (!this.isStopping) this.record(`${daemon.node} ended: status ${status}, ${signal}`);
    });
    this.record(`${daemon.node} started as process ${child.pid}`);
  }

  signal(daemon, name) {
    this.record(`${name} to ${daemon.node}`);
    daemon.child.kill(name);
  }

  /** The log of a daemon. */
  readLog(daemon) {
    try {
      return readFileSync(join(this.folder, `${daemon.node}.log`), 'utf8');
    } catch {
      return '';
    }
  }

  formatSettings(daemon, data, isFirst) {
    const known = this.seedHosts ?? this.controls;
    const seeds = known.slice(0, 3).map(({ control }) => `"${control}"`);
    const bounds = {
      ...{ contactMs: 4000, ackMs: 5000, drainMs: 7000, graceS: 6, configApplyMs: 3000 },
      ...{ revokeMs: 5000, evacuateMs: 5000, recoveryS: 12, fencing: true, ...this.bounds },
    };
    return [
      `node = "${daemon.node}"`,
      `ip = "${daemon.ip}"`,
      `zone = "${daemon.zone}"`,
      `internalPorts = [${this.port}, ${this.port + 1}]`,
      `seeds = [${seeds.join(', ')}]`,
      `bootstrap = ${isFirst}`,
      `heartbeatMs = ${HEARTBEAT_MS}`,
      ...(daemon.isControl ? [`dataDir = "${data}"`] : []),
      '[listen]',
      ...(daemon.isControl
        ? [`control = "${daemon.control}"`]
        : [`frontend = "${daemon.frontend}"`, `readiness = "${daemon.readiness}"`]),
      '[limits]',
      ...['cpuQuota = 0.675', 'cores = 1', 'memoryMb = 350', 'maxFds = 4300', 'linkMbps = 1000.0'],
      '[faultTolerance]',
      ...['machines = 1', 'zones = 1', 'regions = 0'],
      '[bounds]',
      ...Object.entries(bounds).map(([name, value]) => `${name} = ${value}`),
      '[cloudApi]',
      `addr = "${this.platformAddress}"`,
      ...['ratePerS = 50.0', 'duties = ["failover"]', 'dutyPerS = 50.0'],
      // On one machine, the operators' interface needs an address for each process.
      '[mesh]',
      'members = []',
      `advertise = "${daemon.ip}:${this.port}"`,
      `operators = "${daemon.ip}:${this.port + 1}"`,
      '',
    ].join('\n');
  }

  async startPlatform() {
    this.platform = createHttpServer((request, response) => {
      let text = '';
      request.on('data', (chunk) => (text += chunk));
      request.on('end', () => void this.answerPlatform(request, text, response));
    });
    await new Promise((resolve) => this.platform.listen(0, this.ip(9, 1), resolve));
    this.platformAddress = `${this.ip(9, 1)}:${this.platform.address().port}`;
  }

  async answerPlatform(request, text, response) {
    const { service, id } = JSON.parse(text);
    const group = this.groups.find((each) => each.service === service);
    const status = (await group?.promote(id, Number(request.headers['fence-token']))) ?? 404;
    this.record(`platform answers ${status}`);
    for (const each of group?.instances ?? []) void this.beat(each);
    response.statusCode = status;
    response.end();
  }

  beatAll() {
    for (const instance of this.instances) {
      if (instance.isRunning && !instance.isSilent) void this.beat(instance);
    }
  }

  async beat(instance) {
    if (!instance.isRunning) return;
    instance.sequence += 1;
    const { group, id, zone, address, state, role, born, sequence } = instance;
    const body = JSON.stringify({
      ...{ service: group.service, addr: address, zone, version: 'v1', slots: group.slots },
      ...{ state, warmupLeftMs: 0, dbRole: role, seq: sequence, born },
    });
    const { controls } = this;
    for (let index = 0; index < controls.length; index += 1) {
      const { control } = controls[(sequence + index) % controls.length];
      const path = `/filbertpoint/Instances.Heartbeat/${id}`;
      if ((await call(control, 'POST', path, body)).status === 200) return;
    }
  }

  /** Sends an operator's order until it is acknowledged; resolves with the last status. */
  async order(path, body = '', limitMs = 20_000) {
    const endMs = Date.now() + limitMs;
    for (let index = 0; Date.now() < endMs; index += 1) {
      const { control, node } = this.controls[index % this.controls.length];
      const { status } = await call(control, 'POST', `/filbertpoint/${path}`, body);
      this.record(`operator ${path} to ${node}: ${status}`);
      if (status === 200 || (status >= 400 && status < 500)) return status;
      await sleep(200);
    }
    return 0;
  }

  configure(manifest) {
    this.record(`manifest ${JSON.stringify(manifest)}`);
    return this.order('Config.Replace', JSON.stringify(manifest));
  }

  connect(entry, database, key, name) {
    return Client.open(entry.frontend, database, key, name);
  }

  /** Waits until each entry host is ready and each named database takes a write. */
  async waitReady(databases) {
    const endMs = Date.now() + READY_MS;
    const isReady = async () => {
      for (const entry of this.entries) {
        const { status } = await call(entry.readiness, 'GET', '/filbertpoint/readyz');
        if (status !== 200) return false;
        for (const [database, key] of databases) {
          const client = await this.connect(entry, database, key, 'w');
          const { error } = await client.query('PUT ready yes');
          client.close();
          if (error !== undefined) return false;
        }
      }
      return true;
    };
    while (!(await isReady())) {
      if (Date.now() > endMs) throw new Error('the fleet did not become ready');
      await sleep(100);
    }
    this.record('the fleet is ready');
  }

  async findPort() {
    for (let attempt = 0; attempt < 50; attempt += 1) {
      const port = 20_000 + Math.floor(Math.random() * 10_000);
      const isFree = await Promise.all(
        [0, 1, 2, 3, 4].map((offset) => isPortFree(this.ip(0, 1), port + offset)),
      );
      if (isFree.every(Boolean)) return port;
    }
    throw new Error('no free ports');
  }

  /** Ends every process of the fleet. */
  async stop(keepsLogs = process.env.KEEP === '1') {
    this.isStopping = true;
    this.timers.forEach(clearInterval);
    for (const { child } of this.daemons) {
      if (child?.exitCode === null && child.signalCode === null) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
    }
    for (const instance of this.instances) instance.stop();
    this.platform?.closeAllConnections();
    this.platform?.close();
    await sleep(200);
    if (keepsLogs) console.log(this.folder);
    else rmSync(this.folder, { recursive: true, force: true });
  }
}

/** The command of a role in the deploy file, split at spaces. */
function readCommand(role) {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  const [, command = ''] = /run = "([^"]*)"/.exec(section) ?? [];
  return command.split(' ');
}

function isPortFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Creates a manifest as the operator sends it. */
export function createManifest(version, { routes, services, tenants, txIdleMs = 3000 }) {
  return {
    version,
    routes: routes.map((route) => ({
      name: `r-${route.host}`,
      ...{ prefix: '/', kind: 'primary', timeoutMs: 800, targetLatencyMs: 120, priority: 1 },
      ...{ attempts: 2, public: false, ...route },
    })),
    services: services.map((name) => ({
      ...{ name, healthPath: '/healthz', maxConns: 16, proto: 'h1', tls: false },
      ...{ warmupS: 0.0, warmupPerS: 0.0, syncReplicas: 1 },
    })),
    limits: {
      ...{ maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000 },
      ...{ idleTimeoutMs: 15000, txIdleMs },
    },
    tenants: tenants.map((tenant) => ({ priority: 1, ratePerS: 1000, burst: 1000, ...tenant })),
  };
}

/**
 * Plays a case: resolves with true if the rule held. Exits with 0 if so, with 1 if the rule was
 * broken, and with 2 if the case couldn't run.
 */
export async function play(fleet, run) {
  const limit = setTimeout(() => {
    fleet.record('the case took too long');
    void fleet.stop().then(() => process.exit(2));
  }, 115_000);
  let status = 2;
  try {
    await fleet.start();
    status = (await run()) ? 0 : 1;
  } catch (error) {
    fleet.record(`could not run: ${error.stack}`);
    console.error(error);
  }
  fleet.record(status === 0 ? 'the rule held' : status === 1 ? 'THE RULE IS BROKEN' : 'not run');
  await fleet.stop();
  clearTimeout(limit);
  process.exit(status);
}

export const hasTrouble = process.env.TROUBLE !== '0';
