import { randomBytes } from 'node:crypto';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import pg from 'pg';
import { createStandinInstance, type StandinInstance } from '../../standin/index.js';
import { Logger, type LogLevel } from '../../src/common/logging/index.js';
import { settingsSchema, type Settings } from '../../src/common/settings/index.js';
import { SystemTimerService } from '../../src/common/timer/index.js';
import { Daemon } from '../../src/daemon/daemon.js';
import { PostgresInterfaces } from '../../src/daemon/postgresInterfaces.js';
import { SeededRandom } from '../../src/daemon/seededRandom.js';
import { createAccountSubject, type AccountPlan } from './createAccountSubject.js';
import type { FleetPlan, PlannedDaemon, PlannedInstance } from './fleetPlan.js';
import { findFreePorts } from './freePorts.js';
import { HttpJson } from './httpJson.js';

const FLEET_KEY = 'a key of this local fleet only';
const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 20;
const NO_GRACE_MS = 0;

/** A running daemon of a local fleet. */
export interface FleetDaemon {
  readonly plan: PlannedDaemon;
  readonly settings: Settings;
  daemon: Daemon;
  /** Operators' HTTP address. */
  readonly operators: string;
}

/** A running backend server of a local fleet. */
export interface FleetInstance {
  readonly plan: PlannedInstance;
  readonly instance: StandinInstance;
  /** Platform HTTP address. */
  readonly http: string;
}

/** Daemons and backend servers in one process, over loopback addresses of their own. */
export class LocalFleet {
  readonly daemons: FleetDaemon[] = [];
  readonly instances: FleetInstance[] = [];
  readonly timer = new SystemTimerService();
  readonly http = new HttpJson();
  private readonly folder = mkdtempSync(join(tmpdir(), 'filbertpoint-'));
  private lastTicket = 0;

  constructor(
    private readonly plan: FleetPlan,
    private readonly logLevel: LogLevel = 'error',
    private readonly seed = 1,
  ) {}

  /** Starts everything and waits until each daemon holds a lease. */
  async start(): Promise<void> {
    const settings = await this.createSettings();
    for (const [index, plan] of this.plan.daemons.entries()) {
      const own = settings[index];
      if (own !== undefined) {
        await this.startDaemon(plan, own, index);
      }
    }
    await this.startInstances();
    await this.waitUntilReady();
  }

  /** Stops everything at once and removes the data folders. */
  async stop(): Promise<void> {
    await Promise.all(this.daemons.map(({ daemon }) => daemon.stop(NO_GRACE_MS)));
    await Promise.all(this.instances.map(({ instance }) => instance.stop()));
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Stops daemons at once and starts them again on their data folders. */
  async restartDaemons(
    isWanted: (host: string) => boolean = () => true,
    whileStopped: () => Promise<void> = () => Promise.resolve(),
  ): Promise<void> {
    const stopped = this.daemons.filter(({ plan }) => isWanted(plan.host));
    await Promise.all(stopped.map(({ daemon }) => daemon.stop(NO_GRACE_MS)));
    await whileStopped();
    for (const known of stopped) {
      const index = this.daemons.indexOf(known);
      await this.startDaemon(known.plan, known.settings, index);
    }
    const addresses = this.daemons.map(({ operators }) => operators);
    for (const { instance } of this.instances) {
      instance.setFilbertpoint(addresses);
    }
    await this.waitUntilReady();
  }

  /** The daemon on a host. */
  getDaemon(host: string): FleetDaemon {
    const found = this.daemons.find(({ plan }) => plan.host === host);
    if (found === undefined) {
      throw new Error(`no daemon on ${host}`);
    }
    return found;
  }

  /** An instance by its name. */
  getInstance(name: string): FleetInstance {
    const found = this.instances.find(({ plan }) => plan.instance === name);
    if (found === undefined) {
      throw new Error(`no instance ${name}`);
    }
    return found;
  }

  /** Submits a ticket with the next number; fails when it is refused. */
  async submit(...subjects: readonly object[]): Promise<number> {
    this.lastTicket += 1;
    const number = this.lastTicket;
    const answer = await this.http.post(this.operators, '/tickets', { number, subjects });
    if (answer.status !== 200) {
      throw new Error(`ticket ${number}: ${answer.status} ${JSON.stringify(answer.body)}`);
    }
    return number;
  }

  /** Creates accounts, each with one key, and a route to each group; gives the keys. */
  async openAccounts(accounts: readonly AccountPlan[]): Promise<ReadonlyMap<string, string>> {
    const keys = new Map<string, string>();
    const subjects = accounts.map((account) => {
      const key = randomBytes(12).toString('base64url');
      keys.set(account.account, key);
      return createAccountSubject(account, [{ id: 'first', key }]);
    });
    const groups = new Set(this.plan.instances.map(({ group }) => group));
    const routes = [...groups].map((group) => ({ kind: 'route', route: group, group }));
    await this.submit(...subjects, ...routes);
    return keys;
  }

  /** Waits until a group has a serving primary and a holder. */
  async waitForGroup(group: string): Promise<void> {
    await this.waitFor(async () => {
      const { body } = await this.http.get(this.operators, '/status');
      const status = body as { readonly groups?: readonly GroupView[] };
      const found = status.groups?.find((candidate) => candidate.group === group);
      return found?.phase === 'serving' && found.holder !== undefined;
    });
  }

  /** Waits until what is in force on a subject has reached every daemon. */
  async waitUntilInForce(subject: string): Promise<void> {
    await this.waitFor(async () => {
      const { status, body } = await this.http.get(this.operators, `/in-force/${subject}`);
      return status === 200 && JSON.stringify(body).includes('"everywhere":true');
    });
  }

  /** Connects a caller through the daemon on a host. */
  async connect(
    host: string,
    account: string,
    key: string,
    database: string,
    options: Partial<pg.ClientConfig> = {},
  ): Promise<pg.Client> {
    const { daemon, plan } = this.getDaemon(host);
    const client = new pg.Client({
      host: plan.ip,
      port: daemon.callerPort,
      user: account,
      password: key,
      database,
      ...options,
    });
    client.on('error', () => undefined);
    await client.connect();
    return client;
  }

  /** Waits until a condition holds. */
  async waitFor(isTrue: () => Promise<boolean> | boolean): Promise<void> {
    const endMs = this.timer.now() + READY_TIMEOUT_MS;
    while (!(await isTrue())) {
      if (this.timer.now() > endMs) {
        throw new Error('a condition did not come to hold in time');
      }
      await this.sleep(POLL_INTERVAL_MS);
    }
  }

  sleep(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.timer.once(durationMs, () => resolve());
    });
  }

  /** Address of some operators' interface. */
  get operators(): string {
    const [first] = this.daemons;
    return first?.operators ?? '';
  }

  private async waitUntilReady(): Promise<void> {
    for (const { operators } of this.daemons) {
      await this.waitFor(async () => (await this.http.get(operators, '/readyz')).status === 200);
    }
  }

  private async createSettings(): Promise<readonly Settings[]> {
    const ports = await Promise.all(this.plan.daemons.map(({ ip }) => findFreePorts(ip, 1)));
    const addresses = this.plan.daemons.map(({ ip }, index) => `${ip}:${ports[index]?.[0] ?? 0}`);
    const members = this.plan.daemons.flatMap(({ host, domain, roles }, index) =>
      roles.includes('control') ? [{ host, domain, address: addresses[index] }] : [],
    );
    return this.plan.daemons.map(({ host, domain, ip, roles }, index) =>
      settingsSchema.parse({
        host,
        domain,
        roles,
        data_folder: join(this.folder, host),
        mesh: { listen: addresses[index], plain: true },
        control: { members },
        ...(roles.includes('entry') ? { callers: { listen: `${ip}:0` } } : {}),
        operators: { listen: `${ip}:0` },
        fleet: { token_key: FLEET_KEY },
        log: { level: this.logLevel },
      }),
    );
  }

  private async startDaemon(plan: PlannedDaemon, settings: Settings, index: number): Promise<void> {
    const logger = new Logger(this.logLevel, { host: plan.host });
    const daemon = new Daemon({
      interfaces: new PostgresInterfaces(),
      settings,
      files: {
        fleetKey: FLEET_KEY,
        meshTls: undefined,
        callerTls: undefined,
        backendPassword: undefined,
        operatorTokens: undefined,
        announcerTokens: undefined,
        ...this.plan.files,
      },
      timer: this.timer,
      logger,
      random: new SeededRandom(this.seed * 1000 + index),
      isFounding: true,
      onFatal: (fault) => {
        logger.reportFault(fault);
      },
    });
    await daemon.start();
    this.daemons[index] = { plan, settings, daemon, operators: daemon.operatorAddress };
  }

  private async startInstances(): Promise<void> {
    const { instances } = this.plan;
    const ports = await Promise.all(instances.map(({ ip }) => findFreePorts(ip, 2)));
    const https = instances.map(({ ip }, index) => `${ip}:${ports[index]?.[1] ?? 0}`);
    for (const [index, plan] of instances.entries()) {
      const peers = https.filter(
        (_http, other) => other !== index && instances[other]?.group === plan.group,
      );
      const instance = this.createInstance(plan, `${plan.ip}:${ports[index]?.[0] ?? 0}`, {
        http: https[index] ?? '',
        peers,
      });
      await instance.start();
      this.instances.push({ plan, instance, http: https[index] ?? '' });
    }
  }

  private createInstance(
    { group, instance, domain, isPrimary }: PlannedInstance,
    listen: string,
    { http, peers }: { readonly http: string; readonly peers: readonly string[] },
  ): StandinInstance {
    const { slots, connectionLimit, lagMs, statementMs, openingMs } = this.plan;
    const settings = {
      group,
      instance,
      domain,
      listen,
      http,
      peers: [...peers],
      filbertpoint: this.daemons.map(({ operators }) => operators),
      role: isPrimary ? ('primary' as const) : ('replica' as const),
      slots,
      connection_limit: connectionLimit,
      lag_ms: lagMs,
      statement_ms: statementMs,
      opening_time_ms: openingMs,
    };
    return createStandinInstance(settings, this.timer, new Logger(this.logLevel, { instance }));
  }
}

interface GroupView {
  readonly group: string;
  readonly phase?: string;
  readonly holder?: string;
}
