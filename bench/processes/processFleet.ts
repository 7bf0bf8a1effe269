import { spawn, type ChildProcess } from 'node:child_process';
import { mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'smol-toml';
import { SystemTimerService } from '../../src/common/timer/index.js';
import type { FleetPlan, PlannedDaemon, PlannedInstance } from '../fleet/fleetPlan.js';
import { findFreePorts } from '../fleet/freePorts.js';
import { HttpJson } from '../fleet/httpJson.js';

const READY_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 50;
const FLEET_KEY = 'a key of this local fleet only';

/** The addresses of one process. */
export interface ProcessPorts {
  readonly ip: string;
  /** Mesh port of a daemon, PostgreSQL port of an instance. */
  readonly main: number;
  readonly http: number;
  /** Callers' port of an entry daemon. */
  readonly callers: number;
}

/** One process of the fleet. */
export interface FleetProcess {
  readonly name: string;
  readonly ports: ProcessPorts;
  readonly program: string;
  readonly file: string;
  child: ChildProcess | undefined;
}

/** Daemons and stand-in databases as separate processes with TOML files of their own. */
export class ProcessFleet {
  readonly http = new HttpJson();
  readonly timer = new SystemTimerService();
  readonly processes = new Map<string, FleetProcess>();
  readonly folder = mkdtempSync(join(tmpdir(), 'filbertpoint-'));

  constructor(
    private readonly plan: FleetPlan,
    private readonly distFolder: string,
  ) {
    mkdirSync(join(this.folder, 'logs'));
  }

  /** Writes the settings, starts every process and waits until each daemon is ready. */
  async start(): Promise<void> {
    await this.plan.daemons.reduce(async (done, { host, ip }) => {
      await done;
      await this.add(host, ip, 'src/daemon/main.js');
    }, Promise.resolve());
    for (const { instance, ip } of this.plan.instances) {
      await this.add(instance, ip, 'standin/main.js');
    }
    this.plan.daemons.forEach((daemon) => this.writeDaemon(daemon));
    this.plan.instances.forEach((instance) => this.writeInstance(instance));
    for (const { host, roles } of this.plan.daemons) {
      this.run(host, roles.includes('control') ? ['--found'] : []);
    }
    this.plan.instances.forEach(({ instance }) => this.run(instance, []));
    for (const { host } of this.plan.daemons) {
      await this.waitReady(host);
    }
  }

  /** Ends every process and removes the files. */
  async stop(): Promise<void> {
    for (const { child } of this.processes.values()) {
      child?.kill('SIGKILL');
    }
    await this.sleep(POLL_INTERVAL_MS);
    rmSync(this.folder, { recursive: true, force: true });
  }

  get(name: string): FleetProcess {
    const found = this.processes.get(name);
    if (found === undefined) {
      throw new Error(`no process ${name}`);
    }
    return found;
  }

  /** Sends a signal to a process. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.get(name).child?.kill(signal);
  }

  /** Starts a process again after it ended. */
  run(name: string, options: readonly string[]): void {
    const process = this.get(name);
    const log = openSync(join(this.folder, 'logs', `${name}.log`), 'a');
    const program = join(this.distFolder, process.program);
    const command = ['--enable-source-maps', program, process.file, ...options];
    process.child = spawn(globalThis.process.execPath, command, { stdio: ['ignore', log, log] });
  }

  /** Waits until a daemon takes callers. */
  async waitReady(name: string): Promise<void> {
    await this.waitFor(
      async () => (await this.http.get(this.getHttp(name), '/readyz')).status === 200,
    );
  }

  getHttp(name: string): string {
    const { ip, http } = this.get(name).ports;
    return `${ip}:${http}`;
  }

  /** Waits until a condition holds; errors count as not yet. */
  async waitFor(isTrue: () => Promise<boolean>): Promise<void> {
    const endMs = this.timer.now() + READY_TIMEOUT_MS;
    while (!(await isTrue().catch(() => false))) {
      if (this.timer.now() > endMs) {
        throw new Error(`a condition did not come to hold in time; logs in ${this.folder}/logs`);
      }
      await this.sleep(POLL_INTERVAL_MS);
    }
  }

  sleep(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.timer.once(durationMs, () => resolve());
    });
  }

  private async add(name: string, ip: string, program: string): Promise<void> {
    const [main = 0, http = 0, callers = 0] = await findFreePorts(ip, 3);
    const file = join(this.folder, `${name}.toml`);
    const ports = { ip, main, http, callers };
    this.processes.set(name, { name, ports, program, file, child: undefined });
  }

  private writeDaemon({ host, domain, ip, roles }: PlannedDaemon): void {
    const { ports, file } = this.get(host);
    const members = this.plan.daemons
      .filter((daemon) => daemon.roles.includes('control'))
      .map((daemon) => ({
        host: daemon.host,
        domain: daemon.domain,
        address: `${daemon.ip}:${this.get(daemon.host).ports.main}`,
      }));
    const settings = {
      host,
      domain,
      roles: [...roles],
      data_folder: join(this.folder, host),
      mesh: { listen: `${ip}:${ports.main}`, plain: true },
      control: { members },
      ...(roles.includes('entry') ? { callers: { listen: `${ip}:${ports.callers}` } } : {}),
      operators: { listen: `${ip}:${ports.http}` },
      fleet: { token_key: FLEET_KEY },
    };
    writeFileSync(file, stringify(settings));
  }

  private writeInstance({ group, instance, domain, ip, isPrimary }: PlannedInstance): void {
    const { ports, file } = this.get(instance);
    const { slots, connectionLimit, lagMs, statementMs, openingMs } = this.plan;
    const entries = this.plan.daemons.filter(({ roles }) => roles.includes('entry'));
    const peers = this.plan.instances.filter(
      (other) => other.group === group && other.instance !== instance,
    );
    const settings = {
      group,
      instance,
      domain,
      listen: `${ip}:${ports.main}`,
      http: `${ip}:${ports.http}`,
      peers: peers.map((peer) => this.getHttp(peer.instance)),
      filbertpoint: entries.map(({ host }) => this.getHttp(host)),
      role: isPrimary ? 'primary' : 'replica',
      slots,
      connection_limit: connectionLimit,
      lag_ms: lagMs,
      statement_ms: statementMs,
      opening_time_ms: openingMs,
    };
    writeFileSync(file, stringify(settings));
  }
}
