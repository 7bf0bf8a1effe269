// A small deployment: the project's own programs as processes, and stand-ins for everything around them.
import { spawn } from 'node:child_process';
import {
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer, request } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { Client } from './client.mjs';
import { Service } from './database.mjs';

export const ROOT = resolve(import.meta.dirname, '../..');
const HEARTBEAT_MS = 1200;
const RESTART_DELAY_MS = 300;
const ANSWER_MS = 3000;
/** Time after which a case that has not ended is given up. */
const LIMIT_MS = 110_000;

export const sleep = (durationMs) => new Promise((done) => setTimeout(done, durationMs));

/** Writes `record.txt`: what was sent, answered and run, with the time since the start. */
export class Recorder {
  startMs = Date.now();
  lines = [];

  constructor(folder) {
    this.stream = createWriteStream(join(folder, 'record.txt'));
    this.add = this.add.bind(this);
  }

  add(text) {
    const line = `${((Date.now() - this.startMs) / 1000).toFixed(3).padStart(8)} ${text}`;
    this.stream.write(`${line}\n`);
  }

  /** Writes a line of the summary also to the standard output. */
  say(text) {
    this.add(text);
    process.stdout.write(`${text}\n`);
  }

  close() {
    return new Promise((done) => this.stream.end(done));
  }
}

/** Ports that are free at an address now. */
async function findPorts(ip, count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = createTcpServer();
    await new Promise((done, fail) => server.once('error', fail).listen(0, ip, done));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return ports;
}

/** Commands of the deploy file, by role. */
function readCommands() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const commands = {};
  for (const [, role, command] of text.matchAll(/\[roles\.(\w+)\]\s+run = "([^"]+)"/g)) {
    commands[role] = command.split(' ');
  }
  return commands;
}

/** Sends an HTTP request; resolves with status 0 when no complete answer came within a second. */
export function callHttp(address, method, path, body = '', timeoutMs = 1000) {
  const [host, port] = address.split(':');
  const nothing = { status: 0, body: '', raw: Buffer.alloc(0) };
  return new Promise((done) => {
    const headers = { 'content-type': 'application/json' };
    const sent = request({ host, port, method, path, agent: false, headers }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('end', () => {
        const raw = Buffer.concat(chunks);
        done({ status: response.statusCode, body: raw.toString(), raw });
      });
      response.on('error', () => done(nothing));
    });
    const limit = setTimeout(() => {
      sent.destroy();
      done(nothing);
    }, timeoutMs);
    sent.on('error', () => done(nothing));
    sent.on('close', () => {
      clearTimeout(limit);
      done(nothing);
    });
    sent.end(body);
  });
}

/** One process of the system on a loopback address of its own. */
class Daemon {
  child = undefined;
  isWanted = false;
  /** Processes that ended by themselves: their exit status or signal. */
  ends = [];

  constructor(fleet, fields) {
    Object.assign(this, fields);
    this.fleet = fleet;
  }

  start(isFirst) {
    this.isWanted = true;
    const { folder, commands, record } = this.fleet;
    const file = join(folder, `${this.node}.toml`);
    writeFileSync(file, this.fleet.formatSettings(this, isFirst));
    const [program, ...words] = commands[this.role];
    const { PATH, HOME, LANG } = process.env;
    const environment = { PATH, HOME, LANG, FILBERTPOINT_SETTINGS: file };
    const child = spawn(program, words, {
      cwd: ROOT,
      env: environment,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(folder, `${this.node}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.child = child;
    record(`${this.node}: process started`);
    child.on('exit', (status, signal) => {
      this.child = undefined;
      if (this.isWanted) {
        this.ends.push(signal ?? status);
        record(`${this.node}: process ended by itself (${signal ?? `status ${status}`})`);
        setTimeout(() => this.isWanted && this.start(false), RESTART_DELAY_MS);
      }
    });
  }

  /** Ends the process for good with a signal. */
  async end(signal = 'SIGKILL') {
    this.isWanted = false;
    const { child } = this;
    if (child !== undefined) {
      const ended = new Promise((done) => child.once('exit', done));
      child.kill(signal);
      await ended;
    }
  }
}

/** A fleet before one service of three instances, with the stand-in of the platform. */
export class Fleet {
  daemons = [];
  services = [];
  timers = [];
  commands = readCommands();

  constructor(
    recorder,
    {
      edges = 2,
      zones = ['zone-a', 'zone-b', 'zone-c'],
      service = {},
      isBeating = () => true,
    } = {},
  ) {
    this.record = recorder.add;
    this.recorder = recorder;
    this.edgeCount = edges;
    this.zones = zones;
    this.serviceOptions = service;
    this.isBeating = isBeating;
    this.folder = mkdtempSync(join(tmpdir(), 'review-2-'));
    this.network = 20 + Math.floor(Math.random() * 200);
    this.subnet = Math.floor(Math.random() * 250);
  }

  get controls() {
    return this.daemons.filter(({ role }) => role === 'control');
  }

  get edges() {
    return this.daemons.filter(({ role }) => role === 'entry');
  }

  get service() {
    return this.services[0];
  }

  async start() {
    const { network, subnet, zones } = this;
    for (let index = 0; index < 3 + this.edgeCount; index += 1) {
      const isControl = index < 3;
      const ip = `127.${network}.${subnet}.${index + 1}`;
      const [mesh, operators, first, second] = await findPorts(ip, 4);
      const node = isControl ? `core-${index + 1}` : `edge-${index - 2}`;
      const addresses = isControl
        ? { control: `${ip}:${first}` }
        : { frontend: `${ip}:${first}`, readiness: `${ip}:${second}` };
      const zone = zones[index % zones.length];
      this.daemons.push(
        new Daemon(this, {
          node,
          ip,
          zone,
          role: isControl ? 'control' : 'entry',
          mesh,
          operators,
          addresses,
        }),
      );
    }
    const service = new Service('ledger1', { ...this.serviceOptions, record: this.record });
    this.services.push(service);
    for (let index = 0; index < 3; index += 1) {
      const ip = `127.${network}.${subnet}.${100 + index}`;
      const [port] = await findPorts(ip, 1);
      await service.add(`i-${index + 1}`, zones[index % zones.length], `${ip}:${port}`).start();
    }
    await this.startPlatform();
    for (const daemon of this.daemons) {
      daemon.start(true);
    }
    this.timers.push(setInterval(() => this.beat(), HEARTBEAT_MS));
    await sleep(1000);
    this.beat();
  }

  async startPlatform() {
    const ip = `127.${this.network}.${this.subnet}.200`;
    const [port] = await findPorts(ip, 1);
    this.platformAddress = `${ip}:${port}`;
    this.platform = createServer((incoming, response) => {
      const chunks = [];
      incoming.on('data', (chunk) => chunks.push(chunk));
      incoming.on('end', () => {
        const { service, id } = JSON.parse(Buffer.concat(chunks).toString());
        const fence = Number(incoming.headers['fence-token']);
        const status =
          this.services.find(({ name }) => name === service)?.promote(id, fence) ?? 409;
        this.record(
          `platform: POST /promote ${id} fence ${fence} by ${incoming.headers['lease-holder']} -> ${status}`,
        );
        response.writeHead(status);
        response.end();
      });
    });
    await new Promise((done) => this.platform.listen(port, ip, done));
  }

  beat() {
    for (const instance of this.services.flatMap(({ instances }) => instances)) {
      if (instance.isRunning && this.isBeating(instance)) {
        void this.announce(instance);
      }
    }
  }

  async announce(instance, state = 'ready') {
    instance.sequence += 1;
    const { service, address, zone, role, sequence, born } = instance;
    const body = JSON.stringify({
      service: service.name,
      addr: address,
      zone,
      version: 'v1',
      slots: service.slots,
      state,
      warmupLeftMs: 0,
      dbRole: role,
      seq: sequence,
      born,
    });
    for (let index = 0; index < this.controls.length; index += 1) {
      const control = this.controls[(sequence + index) % this.controls.length];
      const path = `/filbertpoint/Instances.Heartbeat/${instance.id}`;
      const { status } = await callHttp(control.addresses.control, 'POST', path, body);
      if (status === 200) {
        return;
      }
    }
  }

  /** Sends an order as the operator does: to another machine after each failure. */
  async order(method, path, body = '') {
    for (let attempt = 0; attempt < 30; attempt += 1) {
      const control = this.controls[attempt % this.controls.length];
      const reply = await callHttp(control.addresses.control, method, path, body);
      this.record(`operator: ${method} ${path} at ${control.node} -> ${reply.status}`);
      if (reply.status === 200 || (reply.status >= 400 && reply.status < 500)) {
        return reply;
      }
      await sleep(200 + 100 * attempt);
    }
    return { status: 0, body: '' };
  }

  configure(manifest) {
    return this.order('POST', '/filbertpoint/Config.Replace', JSON.stringify(manifest));
  }

  /** The control machine that seems to lead: the last one whose process said so in its log. */
  findLeader() {
    const found = this.controls.map((daemon) => {
      const log = readFileSync(join(this.folder, `${daemon.node}.log`), 'utf8');
      const terms = [...log.matchAll(/code=FP8511 .*now leader.*term=(\d+)/g)].map(([, term]) =>
        Number(term),
      );
      return { daemon, term: Math.max(0, ...terms) };
    });
    return found.reduce((best, each) => (each.term > best.term ? each : best)).daemon;
  }

  /** Waits until each edge serves a write on a database. */
  async waitUntilServing(database, key) {
    for (const edge of this.edges) {
      for (let attempt = 0; ; attempt += 1) {
        const { client, reply } = await Client.open(edge.addresses.frontend, database, key);
        const written =
          reply.state === 'I'
            ? await Promise.race([
                client.send(`QUERY warm${attempt}${edge.node} PUT warm up`),
                sleep(ANSWER_MS),
              ])
            : reply;
        client.close();
        if (written?.isDone === true) {
          break;
        }
        if (attempt > 200) {
          throw new Error('the fleet does not serve');
        }
        await sleep(100);
      }
    }
  }

  formatSettings(daemon, isFirst) {
    const { zones, controls } = this;
    const folder = join(this.folder, daemon.node);
    mkdirSync(folder, { recursive: true });
    return [
      `node = "${daemon.node}"`,
      `role = "${daemon.role}"`,
      `class = "${daemon.role === 'control' ? 'core' : 'edge'}"`,
      `serves = ["${daemon.role === 'control' ? 'control' : 'edge'}"]`,
      `ip = "${daemon.ip}"`,
      `zone = "${daemon.zone}"`,
      'region = "region"',
      `internalPorts = [${daemon.mesh}, ${daemon.operators}]`,
      `seeds = [${controls.map(({ addresses }) => `"${addresses.control}"`).join(', ')}]`,
      `bootstrap = ${isFirst}`,
      'inTolerance = false',
      'discovery = "registry"',
      'entry = "vip"',
      `heartbeatMs = ${HEARTBEAT_MS}`,
      ...(daemon.role === 'control' ? [`dataDir = "${folder}"`] : []),
      '[zones]',
      ...[...new Set(zones)].map((zone) => `${zone} = "region"`),
      '[listen]',
      ...Object.entries(daemon.addresses).map(([name, address]) => `${name} = "${address}"`),
      '[limits]',
      'cpuQuota = 0.675',
      'cores = 1',
      'memoryMb = 350',
      'maxFds = 4300',
      'linkMbps = 1000.0',
      'diskMb = 128',
      '[faultTolerance]',
      'machines = 1',
      'zones = 1',
      'regions = 0',
      '[bounds]',
      'seedLagS = 3',
      'reuseAfterS = 2',
      'contactMs = 4000',
      'ackMs = 5000',
      'catchUpS = 4',
      'drainMs = 7000',
      'graceS = 6',
      'lossSlackMs = 200',
      'configApplyMs = 3000',
      'rollbackSlackMs = 250',
      'outerMs = 12000',
      'evacuateMs = 5000',
      'recoveryS = 12',
      'fencing = true',
      'thawMs = 300',
      '[cloudApi]',
      `addr = "${this.platformAddress}"`,
      'ratePerS = 50.0',
      'duties = ["failover"]',
      'dutyPerS = 50.0',
      // As in the project's own tests: here all machines are one, so that their ports differ.
      '[mesh]',
      `members = [${controls.map(({ ip, mesh }) => `{ ip = "${ip}", address = "${ip}:${mesh}" }`).join(', ')}]`,
      `advertise = "${daemon.ip}:${daemon.mesh}"`,
      `operators = "${daemon.ip}:${daemon.operators}"`,
      '',
    ].join('\n');
  }

  async stop() {
    for (const timer of this.timers) {
      clearInterval(timer);
    }
    await Promise.all(this.daemons.map((daemon) => daemon.end()));
    await Promise.all(
      this.services.flatMap(({ instances }) => instances).map((each) => each.stop()),
    );
    this.platform?.closeAllConnections();
    this.platform?.close();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.folder, { recursive: true, force: true });
    } else {
      process.stdout.write(`logs in ${this.folder}\n`);
    }
  }
}

/** A manifest with one database of each kind of route on the first service. */
export function createManifest(
  version,
  { timeoutMs = 1000, tenants, routes = [], txIdleMs = 3000 } = {},
) {
  const route = (host, kind, rest = {}) => ({
    ...{ name: `r-${host}`, host, prefix: '/', kind, timeoutMs, targetLatencyMs: 400, priority: 1 },
    ...{ service: 'ledger1', attempts: 2, public: false, ...rest },
  });
  return {
    version,
    routes: [
      route('booking', 'primary'),
      route('lookup', 'bounded', { maxStalenessMs: 1500 }),
      route('record', 'read_your_writes', { maxStalenessMs: 2500 }),
      ...routes.map(([host, kind, rest]) => route(host, kind, rest)),
    ],
    services: [
      {
        name: 'ledger1',
        healthPath: '/healthz',
        maxConns: 54,
        proto: 'h1',
        tls: false,
        warmupS: 0,
        warmupPerS: 0,
        syncReplicas: 1,
      },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 262144,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
      txIdleMs,
    },
    tenants: tenants ?? [
      { name: 'mill', apiKeys: ['millkey1'], priority: 1, ratePerS: 500, burst: 500 },
    ],
  };
}

/**
 * Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. `play` gets
 * the fleet and whether there is trouble, and returns a list of what broke the rule.
 */
export async function runCase(folder, options, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const recorder = new Recorder(folder);
  const fleet = new Fleet(recorder, options);
  let status = 2;
  const giveUp = (reason) => {
    recorder.say(reason);
    void fleet.stop().finally(() => process.exit(2));
  };
  const limit = setTimeout(() => giveUp('the time limit was reached'), LIMIT_MS);
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
    process.once(signal, () => giveUp(`ended by ${signal}`));
  }
  try {
    recorder.say(`trouble: ${hasTrouble ? 'yes' : 'no'}`);
    await fleet.start();
    const broken = await play(fleet, hasTrouble, recorder);
    for (const each of broken) {
      recorder.say(`BROKEN: ${each}`);
    }
    recorder.say(broken.length === 0 ? 'the rule held' : 'the rule was broken');
    status = broken.length === 0 ? 0 : 1;
  } catch (error) {
    recorder.say(`the case could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  await fleet.stop();
  await recorder.close();
  process.exit(status);
}
