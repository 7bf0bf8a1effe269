import { spawn, type ChildProcess } from 'node:child_process';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readdirSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SystemTimerService } from '../../src/common/timer/index.js';
import {
  callControl,
  LineGroup,
  LinePlatform,
  type LineInstance,
} from '../../standin/lines/index.js';
import { formatLineSettings, type LinePlan, type PlannedLineDaemon } from '../lines/linePlan.js';
import { LinkProxy } from './linkProxy.js';

const HEARTBEAT_MS = 300;
const GROUP = { slots: 4, connectionLimit: 16, workMs: 2, lagMs: 8, promoteMs: 200 };
/** Instances stand behind proxies at addresses of this network number. */
const INSTANCE_PROXY_NETWORK = 4;

/** Daemons as processes, behind proxies and before stand-in instances in this process. */
export class FaultFleet {
  readonly timer = new SystemTimerService();
  readonly folder = mkdtempSync(join(tmpdir(), 'filbertpoint-faults-'));
  readonly group: LineGroup;
  /** Proxies by the node or instance that they stand before. */
  readonly proxies = new Map<string, LinkProxy>();
  private readonly children = new Map<string, ChildProcess>();
  private platform: LinePlatform | undefined;

  constructor(
    readonly plan: LinePlan,
    private readonly program: string,
  ) {
    const [first] = plan.instances;
    this.group = new LineGroup({ ...GROUP, service: first?.service ?? '' }, this.timer);
    mkdirSync(join(this.folder, 'logs'));
  }

  get controls(): readonly PlannedLineDaemon[] {
    return this.plan.daemons.filter(({ control }) => control !== undefined);
  }

  get entries(): readonly PlannedLineDaemon[] {
    return this.plan.daemons.filter(({ frontend }) => frontend !== undefined);
  }

  /** Starts proxies, instances and daemons. */
  async start(): Promise<void> {
    for (const { id, domain, address } of this.plan.instances) {
      await this.addProxy(id, this.getProxyAddress(address), address);
      await this.group.add(id, domain, address).start();
    }
    for (const { node, ip, meshPort, meshAddress } of this.plan.daemons) {
      await this.addProxy(node, meshAddress, `${ip}:${meshPort}`);
    }
    const controls = this.controls.map(({ control }) => control ?? '');
    const getAddress = ({ address }: LineInstance): string => this.getProxyAddress(address);
    const { platform } = this.plan;
    this.platform = new LinePlatform(platform, [this.group], controls, getAddress, this.timer);
    await this.platform.start(HEARTBEAT_MS);
    for (const daemon of this.plan.daemons) {
      this.run(daemon, true);
    }
  }

  /** Ends everything; the folder with settings and logs is kept when `keeps`. */
  async stop(keeps: boolean): Promise<void> {
    for (const child of this.children.values()) {
      child.kill('SIGKILL');
    }
    await this.platform?.stop();
    await Promise.all(this.group.instances.map((instance) => instance.stop()));
    await Promise.all([...this.proxies.values()].map((proxy) => proxy.stop()));
    if (!keeps) {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }

  /** Starts a daemon's process. */
  run(daemon: PlannedLineDaemon, isFirst = false): void {
    const { node } = daemon;
    const data = this.getDataFolder(node);
    mkdirSync(data, { recursive: true });
    const file = join(this.folder, `${node}.toml`);
    writeFileSync(file, formatLineSettings(this.plan, daemon, data, isFirst));
    const log = openSync(join(this.folder, 'logs', `${node}.log`), 'a');
    const child = spawn(process.execPath, ['--enable-source-maps', this.program], {
      stdio: ['ignore', log, log],
      env: { PATH: process.env.PATH, FILBERTPOINT_SETTINGS: file },
    });
    this.children.set(node, child);
  }

  /** Sends a signal to a daemon's process. */
  signal(node: string, signal: NodeJS.Signals): void {
    this.children.get(node)?.kill(signal);
  }

  /** Waits until a daemon's process has ended. */
  async waitForEnd(node: string): Promise<void> {
    const child = this.children.get(node);
    if (child?.exitCode === null && child.signalCode === null) {
      await new Promise((resolve) => child.once('exit', resolve));
    }
  }

  /** Removes what a stopped control host had stored. */
  wipe(node: string): void {
    rmSync(this.getDataFolder(node), { recursive: true, force: true });
  }

  /** Leaves part of a record behind what a stopped control host had stored, as a power loss does. */
  tear(node: string): void {
    const folder = join(this.getDataFolder(node), 'control-log');
    for (const name of readdirSync(folder).filter((each) => each.includes('segment'))) {
      appendFileSync(join(folder, name), Buffer.from([0, 0, 1, 7, 9, 9]));
    }
  }

  /** Sends a call to any control host that answers. */
  async call(method: string, path: string, body?: string) {
    for (const { control = '' } of this.controls) {
      const reply = await callControl(control, method, path, body);
      if (reply.status === 200) {
        return reply;
      }
    }
    return undefined;
  }

  sleep(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.timer.once(durationMs, () => resolve());
    });
  }

  private getDataFolder(node: string): string {
    return join(this.folder, node);
  }

  private getProxyAddress(address: string): string {
    const [network = '', second = '', , rest = ''] = address.split('.');
    return `${network}.${second}.${INSTANCE_PROXY_NETWORK}.${rest}`;
  }

  private async addProxy(name: string, address: string, target: string): Promise<void> {
    const proxy = new LinkProxy(address, target, this.timer);
    await proxy.start();
    this.proxies.set(name, proxy);
  }
}
