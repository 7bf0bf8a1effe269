import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TimerService } from '../../src/common/timer/index.js';
import {
  LineGroup,
  LinePlatform,
  type LineInstance,
  type StatementWatch,
} from '../../standin/lines/index.js';
import { formatLineSettings, type LinePlan, type PlannedLineDaemon } from '../lines/linePlan.js';
import type { CallerLedger } from './callerLedger.js';
import { DaemonProcess, type ProcessStart } from './daemonProcess.js';
import type { HarmLog } from './harmLog.js';
import type { HostHarm } from './harmedHost.js';
import { LinkProxy, type LinkFault } from './linkProxy.js';

const HEARTBEAT_MS = 300;
const GROUP = { slots: 4, connectionLimit: 16, workMs: 2, lagMs: 8, promoteMs: 200 };
/** Instances stand behind proxies at addresses of this network number. */
const INSTANCE_PROXY_NETWORK = 4;
/** Time from SIGTERM until the process is killed, as the settings say. */
const GRACE_MS = 6000;
/** A process that ended by itself starts again after this time. */
const RESTART_MS = 300;
/** A process may see an error of its disk this long after the disk is well again. */
const DISK_SETTLE_MS = 3000;

/** Daemons as processes, behind proxies and before stand-in instances in this process. */
export class FaultFleet {
  readonly folder = mkdtempSync(join(tmpdir(), 'filbertpoint-faults-'));
  readonly group: LineGroup;
  /** Proxies by the node or instance that they stand before. */
  readonly proxies = new Map<string, LinkProxy>();
  private readonly processes = new Map<string, DaemonProcess>();
  private readonly harmedDisks = new Set<string>();
  /** What each host suffers from now, in the order in which it began. */
  private readonly present = new Map<string, readonly HostHarm[]>();
  private platform: LinePlatform | undefined;
  private isOver = false;

  constructor(
    readonly plan: LinePlan,
    private readonly programs: Pick<ProcessStart, 'program' | 'harm'>,
    readonly timer: TimerService,
    private readonly harms: HarmLog,
    private readonly ledger: CallerLedger,
    watch: StatementWatch,
  ) {
    const [first] = plan.instances;
    this.group = new LineGroup({ ...GROUP, service: first?.service ?? '' }, this.timer, watch);
    mkdirSync(join(this.folder, 'logs'));
  }

  get controls(): readonly PlannedLineDaemon[] {
    return this.plan.daemons.filter(({ control }) => control !== undefined);
  }

  get entries(): readonly PlannedLineDaemon[] {
    return this.plan.daemons.filter(({ frontend }) => frontend !== undefined);
  }

  /** Ids of the processes that run and are not paused. */
  get processIds(): readonly number[] {
    return [...this.processes.values()]
      .filter(({ isRunning, isPaused }) => isRunning && !isPaused)
      .map(({ id }) => id);
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
    this.isOver = true;
    for (const daemon of this.processes.values()) {
      daemon.isExpected = true;
      daemon.signal('SIGKILL');
    }
    await Promise.all([...this.processes.values()].map(({ ended }) => ended));
    await this.platform?.stop();
    await Promise.all(this.group.instances.map((instance) => instance.stop()));
    await Promise.all([...this.proxies.values()].map((proxy) => proxy.stop()));
    if (!keeps) {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }

  /** Starts a daemon's process, unless it runs. */
  run(daemon: PlannedLineDaemon, isFirst = false): void {
    const { node } = daemon;
    if (this.isOver || this.processes.get(node)?.isRunning === true) {
      return;
    }
    mkdirSync(this.getDataFolder(node), { recursive: true });
    this.writeSettings(daemon, false, isFirst);
    const started = new DaemonProcess({
      ...this.programs,
      settingsFile: this.getFile(node, 'toml'),
      faultsFile: this.getFile(node, 'harm'),
      logFile: join(this.folder, 'logs', `${node}.log`),
    });
    this.processes.set(node, started);
    void started.ended.then((how) => this.ended(daemon, started, how));
  }

  /**
   * Writes a daemon's settings; `tears`: only the first half, as while they are being written. A process that
   * starts has nothing else to go by and ends, so that they are torn for daemons that are up only.
   */
  writeSettings(daemon: PlannedLineDaemon, tears: boolean, isFirst = false): void {
    const isTorn = tears && this.wasUp(daemon.node);
    const data = this.getDataFolder(daemon.node);
    const text = formatLineSettings(this.plan, daemon, data, isFirst);
    const file = this.getFile(daemon.node, 'toml');
    writeFileSync(file, isTorn ? text.slice(0, text.length / 2) : text);
  }

  /** Whether the daemon was up in the present life of its process. */
  wasUp(node: string): boolean {
    return this.processes.get(node)?.wasUp() === true;
  }

  /** Sends a signal to a daemon's process. */
  signal(node: string, signal: NodeJS.Signals): void {
    this.processes.get(node)?.signal(signal);
  }

  /** Kills a daemon's process and waits until it has ended. */
  async kill(node: string): Promise<void> {
    const daemon = this.processes.get(node);
    if (daemon !== undefined) {
      daemon.isExpected = true;
      daemon.signal('SIGKILL');
      await daemon.ended;
    }
  }

  /** Stops a process as the platform does, with another signal meanwhile; checks that it ends in time and well. */
  async stopDaemon(
    { node }: PlannedLineDaemon,
    also?: { readonly signal: NodeJS.Signals; readonly afterMs: number },
  ): Promise<void> {
    const daemon = this.processes.get(node);
    if (daemon === undefined) {
      return;
    }
    const startMs = this.timer.now();
    daemon.isExpected = true;
    const stop = this.harms.noteStop(node);
    daemon.signal('SIGTERM');
    const cancel = this.timer.once(GRACE_MS, () => daemon.signal('SIGKILL'));
    if (also !== undefined) {
      this.timer.once(also.afterMs, () => daemon.signal(also.signal));
    }
    const how = await daemon.ended;
    cancel();
    stop.isOrderly = how === 'code 0';
    const isCalm = this.harms.isCalm(startMs, this.timer.now());
    // A process that is not up yet has nothing to hand over.
    const isEarly = how === 'SIGTERM' && !daemon.wasUp();
    const isWrong =
      how === 'SIGKILL' ? isCalm : how !== 'code 0' && !isEarly && !this.harmedDisks.has(node);
    if (isWrong && also?.signal !== 'SIGKILL') {
      const tookMs = (this.timer.now() - startMs).toFixed(0);
      this.ledger.fail(`${node} ended with ${how}, ${tookMs} ms after SIGTERM`);
    }
  }

  /** Makes a host misbehave, perhaps in several ways at once; call what is returned to end it. */
  misbehave(node: string, harm: HostHarm): () => void {
    this.setHarms(node, [...(this.present.get(node) ?? []), harm]);
    if (harm.disk !== undefined) {
      this.harmedDisks.add(node);
    }
    return () => {
      this.setHarms(
        node,
        (this.present.get(node) ?? []).filter((each) => each !== harm),
      );
      if (harm.disk !== undefined) {
        this.timer.once(DISK_SETTLE_MS, () => this.harmedDisks.delete(node));
      }
    };
  }

  /** Begins or ends a fault of the links between a daemon and all others. */
  setLinkFault(daemon: PlannedLineDaemon, fault: LinkFault | undefined): void {
    for (const { node, ip } of this.plan.daemons.filter((other) => other !== daemon)) {
      this.proxies.get(daemon.node)?.setFault(ip, fault);
      this.proxies.get(node)?.setFault(daemon.ip, fault);
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

  sleep(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.timer.once(durationMs, () => resolve());
    });
  }

  /** A process that nobody told to end has broken a promise, unless its disk refuses what it needs. */
  private ended(daemon: PlannedLineDaemon, ended: DaemonProcess, how: string): void {
    if (ended.isExpected || this.isOver) {
      return;
    }
    if (!this.harmedDisks.has(daemon.node)) {
      this.ledger.fail(`${daemon.node} ended by itself with ${how}`);
    }
    const over = this.harms.begin();
    this.timer.once(RESTART_MS, () => {
      this.run(daemon);
      over();
    });
  }

  private setHarms(node: string, harms: readonly HostHarm[]): void {
    this.present.set(node, harms);
    const file = this.getFile(node, 'harm');
    writeFileSync(`${file}.new`, JSON.stringify(Object.assign({}, ...harms)));
    renameSync(`${file}.new`, file);
  }

  private getDataFolder(node: string): string {
    return join(this.folder, node);
  }

  private getFile(node: string, kind: string): string {
    return join(this.folder, `${node}.${kind}`);
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
