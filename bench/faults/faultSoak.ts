import type { RandomSource } from '../../src/common/random.js';
import { SeededRandom } from '../../src/daemon/seededRandom.js';
import { createLineConfiguration } from '../lines/lineConfiguration.js';
import { createLinePlan, type PlannedLineDaemon } from '../lines/linePlan.js';
import { FaultFleet } from './faultFleet.js';
import { LinkFault } from './linkProxy.js';
import { SoakClient, WriteFate, type SoakDatabase } from './soakClient.js';

const ACCOUNTS = { mill: ['key-mill'], press: ['key-press'] };
const CLIENTS: readonly SoakDatabase[] = ['latest', 'session', 'bounded', 'latest', 'session'];
const START_LIMIT_MS = 20_000;
/** Everything has to be served again within this time once all faults are over. */
const RECOVERY_LIMIT_MS = 12_000;
const QUIET_MS = 1500;
const CONFIGURATION_INTERVAL_MS = 700;
const STORED_PROGRAM = new URL('../../platform/start.js', import.meta.url).pathname;

/** What one seed came to. */
export interface FaultSoakResult {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly violations: readonly string[];
  readonly served: number;
  readonly acknowledged: number;
  readonly promotions: number;
  /** Where settings and logs are, when something was violated. */
  readonly folder: string | undefined;
}

/** One run: real daemons under faults drawn from a seed, promises checked on both sides. */
export class FaultSoak {
  private readonly random: RandomSource;
  private readonly faults: string[] = [];
  private readonly violations: string[] = [];
  private readonly clients: SoakClient[] = [];
  private version = 1;
  private acknowledgedVersion = 0;
  private stopped = false;

  private constructor(
    private readonly seed: number,
    private readonly fleet: FaultFleet,
  ) {
    this.random = new SeededRandom(seed);
  }

  /** Runs a seed for a time under faults; `network` keeps runs beside one another apart. */
  static async run(
    seed: number,
    faultsMs: number,
    network: number,
    program = STORED_PROGRAM,
  ): Promise<FaultSoakResult> {
    const size = { controls: 3, entries: 3, groups: 1, network, isProxied: true };
    const fleet = new FaultFleet(await createLinePlan(size), program);
    const soak = new FaultSoak(seed, fleet);
    let keeps = true;
    try {
      await soak.play(faultsMs);
      keeps = soak.violations.length > 0;
    } finally {
      await fleet.stop(keeps);
    }
    return soak.createResult(keeps);
  }

  private async play(faultsMs: number): Promise<void> {
    const { fleet } = this;
    await fleet.start();
    await this.waitFor('the first configuration', START_LIMIT_MS, () => this.configure());
    for (const [index, database] of CLIENTS.entries()) {
      const key = index % 2 === 0 ? 'key-mill' : 'key-press';
      this.clients.push(new SoakClient(`item${index}`, database, key, fleet, this.random));
    }
    const runs = this.clients.map((client) => client.run());
    await this.waitFor('the first answers', START_LIMIT_MS, () => this.isServing(0));
    const operator = this.operate();
    const endMs = fleet.timer.now() + faultsMs;
    while (fleet.timer.now() < endMs) {
      await this.harm();
    }
    for (const proxy of fleet.proxies.values()) {
      proxy.heal();
    }
    const before = this.clients.map(({ served }) => served);
    await this.waitFor('service after the faults', RECOVERY_LIMIT_MS, () =>
      this.clients.every(({ served }, index) => served > (before[index] ?? 0) + 3),
    );
    await fleet.sleep(QUIET_MS);
    this.stopped = true;
    this.clients.forEach((client) => client.stop());
    await Promise.all([...runs, operator]);
    await this.check();
  }

  /** Begins one fault, and ends it after a while. */
  private async harm(): Promise<void> {
    const { fleet } = this;
    const lengthMs = 200 + this.random.next() * 1800;
    const daemon = this.pick(fleet.plan.daemons);
    const instance = this.pick(fleet.group.instances);
    const kinds: Readonly<Record<string, () => Promise<void>>> = {
      pause: () => this.pause(daemon, lengthMs),
      kill: () => this.restart(daemon, 'SIGKILL', lengthMs / 4),
      stop: () => this.restart(daemon, 'SIGTERM', 0),
      wipe: () => this.wipe(this.pick(fleet.controls)),
      tear: () => this.tear(this.pick(fleet.controls)),
      cut: () => this.harmLinks(daemon, LinkFault.Cut, lengthMs),
      oneWay: () => this.harmLinks(daemon, LinkFault.OneWay, lengthMs),
      delay: () => this.harmLinks(daemon, LinkFault.Delay, lengthMs),
      silence: () => Promise.resolve(fleet.proxies.get(daemon.node)?.silence()),
      reset: () => Promise.resolve(fleet.proxies.get(daemon.node)?.reset()),
      instanceSilence: () => Promise.resolve(fleet.proxies.get(instance.id)?.silence()),
      instanceStop: async () => {
        await instance.stop();
        await fleet.sleep(lengthMs);
        await instance.start();
      },
      instanceDeaf: async () => {
        instance.isDeaf = true;
        await fleet.sleep(lengthMs);
        instance.isDeaf = false;
        fleet.group.catchUp(instance);
      },
      instanceDark: async () => {
        const proxy = fleet.proxies.get(instance.id);
        fleet.plan.daemons.forEach(({ ip }) => proxy?.setFault(ip, LinkFault.Cut));
        await fleet.sleep(lengthMs);
        proxy?.heal();
      },
    };
    const kind = this.pick(Object.keys(kinds));
    this.faults.push(`${kind} ${kind.startsWith('instance') ? instance.id : daemon.node}`);
    await kinds[kind]?.();
    await fleet.sleep(this.random.next() * 700);
  }

  private async pause({ node }: PlannedLineDaemon, lengthMs: number): Promise<void> {
    this.fleet.signal(node, 'SIGSTOP');
    await this.fleet.sleep(lengthMs);
    this.fleet.signal(node, 'SIGCONT');
  }

  private async restart(
    daemon: PlannedLineDaemon,
    signal: NodeJS.Signals,
    downMs: number,
  ): Promise<void> {
    this.fleet.signal(daemon.node, signal);
    await this.fleet.waitForEnd(daemon.node);
    await this.fleet.sleep(downMs);
    this.fleet.run(daemon);
  }

  /** One disk is lost at a time: the quorum has to have taken its successor in before the next. */
  private async wipe(daemon: PlannedLineDaemon): Promise<void> {
    this.fleet.signal(daemon.node, 'SIGKILL');
    await this.fleet.waitForEnd(daemon.node);
    this.fleet.wipe(daemon.node);
    this.fleet.run(daemon);
    await this.fleet.sleep(4000);
  }

  private async tear(daemon: PlannedLineDaemon): Promise<void> {
    this.fleet.signal(daemon.node, 'SIGKILL');
    await this.fleet.waitForEnd(daemon.node);
    this.fleet.tear(daemon.node);
    this.fleet.run(daemon);
  }

  /** Harms the links of a daemon to all others, and perhaps to the instances. */
  private async harmLinks(
    daemon: PlannedLineDaemon,
    fault: LinkFault,
    lengthMs: number,
  ): Promise<void> {
    const { proxies, plan, group } = this.fleet;
    const withInstances = this.random.next() < 0.5;
    const own = proxies.get(daemon.node);
    for (const { node, ip } of plan.daemons.filter((other) => other !== daemon)) {
      own?.setFault(ip, fault);
      proxies.get(node)?.setFault(daemon.ip, fault);
    }
    for (const { id } of withInstances ? group.instances : []) {
      proxies.get(id)?.setFault(daemon.ip, fault);
    }
    await this.fleet.sleep(lengthMs);
    for (const proxy of proxies.values()) {
      proxy.heal();
    }
  }

  private async operate(): Promise<void> {
    while (!this.stopped) {
      await this.configure();
      await this.fleet.sleep(CONFIGURATION_INTERVAL_MS);
    }
  }

  private async configure(): Promise<boolean> {
    this.version += 1 + Math.floor(this.random.next() * 3);
    const { version } = this;
    const options = { version, accounts: ACCOUNTS, rate: 500, burst: 500 };
    const body = createLineConfiguration(this.fleet.plan, options);
    const reply = await this.fleet.call('POST', '/filbertpoint/Config.Replace', body);
    if (reply !== undefined) {
      this.acknowledgedVersion = Math.max(this.acknowledgedVersion, version);
    }
    return reply !== undefined;
  }

  private isServing(least: number): boolean {
    return this.clients.every(({ served }) => served > least);
  }

  private async waitFor(
    what: string,
    limitMs: number,
    isTrue: () => boolean | Promise<boolean>,
  ): Promise<void> {
    const endMs = this.fleet.timer.now() + limitMs;
    while (!(await isTrue())) {
      if (this.fleet.timer.now() > endMs) {
        this.violations.push(`${what} did not come within ${limitMs} ms`);
        return;
      }
      await this.fleet.sleep(50);
    }
  }

  /** Compares what callers were told with the log of the primary. */
  private async check(): Promise<void> {
    const { group } = this.fleet;
    const changes = (group.primary?.log ?? []).flatMap((commit) => commit.changes);
    const times = new Map<string, number>();
    for (const [item, data] of changes) {
      times.set(`${item} ${data}`, (times.get(`${item} ${data}`) ?? 0) + 1);
    }
    for (const client of this.clients) {
      this.violations.push(...client.violations);
      for (const { count, fate } of client.writes) {
        const found = times.get(`${client.item} ${count}`) ?? 0;
        const isWrong =
          found > 1 ||
          (fate === WriteFate.Acknowledged && found === 0) ||
          (fate === WriteFate.NotRun && found > 0);
        if (isWrong) {
          this.violations.push(`${client.item}: write ${count} was ${fate}, found ${found} times`);
        }
      }
    }
    if (group.lostCommits > 0) {
      this.violations.push(`${group.lostCommits} commits acknowledged by a primary were lost`);
    }
    const read = await this.fleet.call('GET', '/filbertpoint/Config.Fetch');
    const version = read === undefined ? 0 : (JSON.parse(read.body) as { version: number }).version;
    if (version < this.acknowledgedVersion) {
      this.violations.push(
        `configuration ${version} read, ${this.acknowledgedVersion} acknowledged`,
      );
    }
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.random.next() * items.length)] as Item;
  }

  private createResult(keeps: boolean): FaultSoakResult {
    const writes = this.clients.flatMap((client) => client.writes);
    return {
      seed: this.seed,
      faults: this.faults,
      violations: this.violations,
      served: this.clients.reduce((sum, { served }) => sum + served, 0),
      acknowledged: writes.filter(({ fate }) => fate === WriteFate.Acknowledged).length,
      promotions: (this.fleet.group.primary?.term ?? 1) - 1,
      folder: keeps ? this.fleet.folder : undefined,
    };
  }
}
