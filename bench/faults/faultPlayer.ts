import type { LineInstance } from '../../standin/lines/index.js';
import type { PlannedLineDaemon } from '../lines/linePlan.js';
import type { FaultFleet } from './faultFleet.js';
import { FaultKind, PLANNED_KINDS, type ScheduledFault } from './faultSchedule.js';
import type { HarmLog } from './harmLog.js';
import type { HostHarm } from './harmedHost.js';
import { LinkFault } from './linkProxy.js';
import type { ScheduledRush } from './rushSchedule.js';

/** Nothing else harms processes of control hosts until the successor of a lost disk can be in. */
const WIPE_SETTLE_MS = 4000;
const SERIES_STEP_MS = 700;
const SERIES_LENGTH = 3;
const RELOADS = 4;
const CLOCK_STEP_MS = 8000;
const DOMAIN_OUT_MS = 6500;

const LINK_FAULTS: Partial<Record<FaultKind, LinkFault>> = {
  [FaultKind.Cut]: LinkFault.Cut,
  [FaultKind.OneWay]: LinkFault.OneWay,
  [FaultKind.Delay]: LinkFault.Delay,
};
const DISKS: Partial<Record<FaultKind, HostHarm['disk']>> = {
  [FaultKind.DiskFull]: 'full',
  [FaultKind.DiskFailing]: 'failing',
  [FaultKind.DiskStalled]: 'stalled',
  [FaultKind.DiskSlow]: 'slow',
};

/** Plays the faults of a schedule; a fault of a host that another one has in hand is left out. */
export class FaultPlayer {
  /** What was played, with times. */
  readonly played: string[] = [];
  private readonly taken = new Set<string>();
  /** A quorum of three bears the loss of one disk until its successor is in; it is not seen here when it is. */
  private hasWiped = false;

  constructor(
    private readonly fleet: FaultFleet,
    private readonly harms: HarmLog,
    /** Takes a failure domain out, waits, and takes it back. */
    private readonly takeOut: (domain: string, lengthMs: number) => Promise<void>,
  ) {}

  /** Plays all faults and waits until the last one is over. */
  async play(schedule: readonly ScheduledFault[]): Promise<void> {
    const startMs = this.fleet.timer.now();
    const running: Promise<void>[] = [];
    for (const fault of schedule) {
      await this.fleet.sleep(Math.max(0, startMs + fault.atMs - this.fleet.timer.now()));
      running.push(this.begin(fault));
    }
    await Promise.all(running);
  }

  /** Plays rushes beside the faults; `rush` lets the callers of a host ask. */
  async playRushes(
    schedule: readonly ScheduledRush[],
    rush: (node: string, lengthMs: number) => void,
  ): Promise<void> {
    const startMs = this.fleet.timer.now();
    const running: Promise<void>[] = [];
    for (const each of schedule) {
      await this.fleet.sleep(Math.max(0, startMs + each.atMs - this.fleet.timer.now()));
      running.push(this.beginRush(each, rush));
    }
    await Promise.all(running);
  }

  private async beginRush(
    { where, hosts, lengthMs, readMs, stopsMs }: ScheduledRush,
    rush: (node: string, lengthMs: number) => void,
  ): Promise<void> {
    const { entries, timer } = this.fleet;
    const first = Math.floor(where * entries.length);
    const at = (timer.now() / 1000).toFixed(3);
    const running = entries.map(async (entry, index) => {
      const rank = (index - first + entries.length) % entries.length;
      if (rank >= hosts) {
        return;
      }
      const stopMs = stopsMs[rank];
      const stop = stopMs === undefined ? '' : `, stop after ${stopMs.toFixed(0)} ms`;
      const what = `rush ${entry.node} ${lengthMs.toFixed(0)} ms, ${readMs.toFixed(1)} ms a read`;
      this.played.push(`${at} s ${what}${stop}`);
      const end = this.fleet.misbehave(entry.node, { readMs });
      rush(entry.node, lengthMs);
      this.fleet.timer.once(lengthMs, end);
      if (stopMs !== undefined) {
        await this.fleet.sleep(stopMs);
        await this.hold(entry.node, () => this.harmProcess(FaultKind.Stop, entry, 0, 0));
      }
    });
    await Promise.all(running);
  }

  private async begin(fault: ScheduledFault): Promise<void> {
    const { kind, where, lengthMs, draw } = fault;
    const { plan, group } = this.fleet;
    const isDisk = kind in DISKS || kind === FaultKind.Wipe || kind === FaultKind.Tear;
    const daemon = choose(isDisk ? this.fleet.controls : plan.daemons, where);
    const instance = choose(group.instances, where);
    const target = kind.startsWith('instance') ? instance.id : daemon.node;
    const at = (this.fleet.timer.now() / 1000).toFixed(3);
    this.played.push(`${at} s ${kind} ${target} ${lengthMs.toFixed(0)} ms`);
    const over = PLANNED_KINDS.includes(kind) ? undefined : this.harms.begin();
    await this.harm(kind, daemon, instance, lengthMs, draw);
    over?.();
  }

  private harm(
    kind: FaultKind,
    daemon: PlannedLineDaemon,
    instance: LineInstance,
    lengthMs: number,
    draw: number,
  ): Promise<void> {
    if (kind.startsWith('instance')) {
      return this.harmInstance(kind, instance, lengthMs);
    }
    const { node } = daemon;
    const link = LINK_FAULTS[kind];
    if (link !== undefined) {
      return this.harmLinks(daemon, link, lengthMs, draw < 0.5);
    }
    switch (kind) {
      case FaultKind.DomainOut:
        return this.hold('domain', () => this.takeOut(daemon.domain, DOMAIN_OUT_MS));
      case FaultKind.StopSeries:
        return this.stopSeries(daemon, draw);
      case FaultKind.ReloadSeries:
        return this.hold(node, () => this.reloadSeries(daemon, lengthMs));
      case FaultKind.KillAll:
        return this.killAll();
      case FaultKind.Wipe:
        return this.wipe(daemon);
      case FaultKind.Silence:
        return Promise.resolve(this.fleet.proxies.get(node)?.silence());
      case FaultKind.Reset:
        return Promise.resolve(this.fleet.proxies.get(node)?.reset());
      case FaultKind.ClockStep:
        return this.misbehave(daemon, { clockMs: (draw - 0.5) * 2 * CLOCK_STEP_MS }, lengthMs);
      default:
        return this.hold(node, () => this.harmProcess(kind, daemon, lengthMs, draw));
    }
  }

  /** Faults of one process, which has no other one meanwhile. */
  private async harmProcess(
    kind: FaultKind,
    daemon: PlannedLineDaemon,
    lengthMs: number,
    draw: number,
  ): Promise<void> {
    const { fleet } = this;
    const { node } = daemon;
    switch (kind) {
      case FaultKind.Stop:
        await fleet.stopDaemon(daemon);
        break;
      case FaultKind.StopTwice:
        await fleet.stopDaemon(daemon, { signal: 'SIGTERM', afterMs: draw * SERIES_STEP_MS });
        break;
      case FaultKind.StopReload:
        await fleet.stopDaemon(daemon, { signal: 'SIGHUP', afterMs: draw * SERIES_STEP_MS });
        break;
      case FaultKind.StopKill:
        await fleet.stopDaemon(daemon, { signal: 'SIGKILL', afterMs: draw * lengthMs });
        break;
      case FaultKind.Pause:
        await this.pause(node, lengthMs);
        return;
      case FaultKind.PauseStop:
        await Promise.all([this.pause(node, lengthMs), fleet.stopDaemon(daemon)]);
        break;
      case FaultKind.KillSeries:
        for (let index = 1; index < SERIES_LENGTH; index += 1) {
          await fleet.kill(node);
          fleet.run(daemon);
          await fleet.sleep(draw * SERIES_STEP_MS * index);
        }
        await fleet.kill(node);
        break;
      case FaultKind.Tear:
        await this.tear(node);
        break;
      case FaultKind.Kill:
        await fleet.kill(node);
        await fleet.sleep(lengthMs / 4);
        break;
      default:
        await this.misbehave(daemon, { disk: DISKS[kind] ?? 'slow' }, lengthMs);
        return;
    }
    fleet.run(daemon);
  }

  /** A host that has not dropped an unfinished record yet can't have begun another one. */
  private async tear(node: string): Promise<void> {
    const wasUp = this.fleet.wasUp(node);
    await this.fleet.kill(node);
    if (wasUp) {
      this.fleet.tear(node);
    }
  }

  private async harmInstance(
    kind: FaultKind,
    instance: LineInstance,
    lengthMs: number,
  ): Promise<void> {
    const { fleet } = this;
    const proxy = fleet.proxies.get(instance.id);
    await this.hold(instance.id, async () => {
      switch (kind) {
        case FaultKind.InstanceSilence:
          proxy?.silence();
          break;
        case FaultKind.InstanceStop:
          await instance.stop();
          await fleet.sleep(lengthMs);
          await instance.start();
          break;
        case FaultKind.InstanceDeaf:
          instance.isDeaf = true;
          await fleet.sleep(lengthMs);
          instance.isDeaf = false;
          fleet.group.catchUp(instance);
          break;
        default:
          fleet.plan.daemons.forEach(({ ip }) => proxy?.setFault(ip, LinkFault.Cut));
          await fleet.sleep(lengthMs);
          proxy?.heal();
      }
    });
  }

  private async pause(node: string, lengthMs: number): Promise<void> {
    this.fleet.signal(node, 'SIGSTOP');
    await this.fleet.sleep(lengthMs);
    this.fleet.signal(node, 'SIGCONT');
  }

  private async stopSeries(first: PlannedLineDaemon, draw: number): Promise<void> {
    const { daemons } = this.fleet.plan;
    const from = daemons.indexOf(first);
    const running: Promise<void>[] = [];
    for (let index = 0; index < SERIES_LENGTH; index += 1) {
      const daemon = daemons[(from + index) % daemons.length] ?? first;
      running.push(this.hold(daemon.node, () => this.harmProcess(FaultKind.Stop, daemon, 0, 0)));
      await this.fleet.sleep(draw * SERIES_STEP_MS);
    }
    await Promise.all(running);
  }

  private async reloadSeries(daemon: PlannedLineDaemon, lengthMs: number): Promise<void> {
    for (let index = 0; index < RELOADS; index += 1) {
      this.fleet.writeSettings(daemon, index % 2 === 1);
      this.fleet.signal(daemon.node, 'SIGHUP');
      await this.fleet.sleep(lengthMs / RELOADS);
    }
    this.fleet.writeSettings(daemon, false);
    this.fleet.signal(daemon.node, 'SIGHUP');
  }

  private async killAll(): Promise<void> {
    const { fleet } = this;
    const daemons = fleet.plan.daemons.filter(({ node }) => !this.taken.has(node));
    await Promise.all(
      daemons.map((daemon) =>
        this.hold(daemon.node, async () => {
          await fleet.kill(daemon.node);
          fleet.run(daemon);
        }),
      ),
    );
  }

  private async wipe(daemon: PlannedLineDaemon): Promise<void> {
    const { fleet } = this;
    const nodes = fleet.controls.map(({ node }) => node);
    const [taken = this.hasWiped ? 'the only disk that may be lost' : undefined] = nodes.filter(
      (node) => this.taken.has(node),
    );
    if (taken !== undefined) {
      this.played.push(`  left out: ${taken} is taken`);
      return;
    }
    this.hasWiped = true;
    nodes.forEach((node) => this.taken.add(node));
    await fleet.kill(daemon.node);
    fleet.wipe(daemon.node);
    fleet.run(daemon);
    await fleet.sleep(WIPE_SETTLE_MS);
    nodes.forEach((node) => this.taken.delete(node));
  }

  private async misbehave(
    { node }: PlannedLineDaemon,
    harm: HostHarm,
    lengthMs: number,
  ): Promise<void> {
    const end = this.fleet.misbehave(node, harm);
    await this.fleet.sleep(lengthMs);
    end();
  }

  /** Harms the links of a daemon to all others, and perhaps to the instances. */
  private async harmLinks(
    daemon: PlannedLineDaemon,
    fault: LinkFault,
    lengthMs: number,
    withInstances: boolean,
  ): Promise<void> {
    const instances = withInstances ? this.fleet.plan.instances : [];
    const set = (value: LinkFault | undefined): void => {
      this.fleet.setLinkFault(daemon, value);
      instances.forEach(({ id }) => this.fleet.proxies.get(id)?.setFault(daemon.ip, value));
    };
    set(fault);
    await this.fleet.sleep(lengthMs);
    set(undefined);
  }

  /** Does something with what nothing else has in hand. */
  private async hold(name: string, run: () => Promise<void>): Promise<void> {
    if (this.taken.has(name)) {
      this.played.push(`  left out: ${name} is taken`);
      return;
    }
    this.taken.add(name);
    try {
      await run();
    } finally {
      this.taken.delete(name);
    }
  }
}

function choose<Item>(items: readonly Item[], share: number): Item {
  return items[Math.floor(share * items.length)] as Item;
}
