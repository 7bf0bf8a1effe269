import type { HostId } from '../../../common/ids/index.js';
import { HostLoads } from './hostLoads.js';
import { KindWork } from './kindWork.js';
import { ResourceKind } from './resourceKind.js';

/** Load of a resource of mean work. Loads are whole numbers: 8 keeps rounding below a tenth. */
export const UNITS_PER_RESOURCE = 8;
/** Time for which a new leader counts resources by their number. */
export const LEARNING_MS = 30_000;
/**
 * Most resources whose weights follow a changed mean in one refresh, so that it does not hold up the
 * leader: 16,000 of them take 16 s of the 30 s in which a leader learns.
 */
const RESOURCES_PER_REFRESH = 1024;
/** Time for which a reported share of processor time counts. */
const SHARE_VALID_MS = 10_000;

interface HostFigures {
  readonly processorShare: number | undefined;
  readonly cores: number | undefined;
  readonly atMs: number;
}

/** Receives changes of the loads of hosts. */
export interface WorkListener {
  /** Called when the work of a host changed. */
  hostChanged(host: HostId): void;
  /** Called when the unit of all loads changed. */
  unitChanged(): void;
}

/**
 * Work of all groups, readers and accounts on the hosts of the fleet. The work of each resource is
 * kept by its name, so that a resource that moves keeps its weight.
 */
export class FleetWork {
  private readonly kinds: Readonly<Record<ResourceKind, KindWork>> = {
    [ResourceKind.Group]: new KindWork(),
    [ResourceKind.Reader]: new KindWork(),
    [ResourceKind.Account]: new KindWork(),
  };
  private readonly kindByKey = new Map<string, ResourceKind>();
  private readonly loads = new HostLoads();
  private readonly hosts = new Map<HostId, HostFigures>();
  private readonly listeners: WorkListener[] = [];
  private sinceMs = 0;
  private isLearning = true;
  private meanCores = 1;
  /** Resources whose weights are still to be compared with the mean. */
  private remaining: Iterator<readonly [string, ResourceKind]> | undefined;

  subscribe(listener: WorkListener): void {
    this.listeners.push(listener);
  }

  /** Begins a leadership: nothing is known of the work of resources. */
  begin(nowMs: number): void {
    this.sinceMs = nowMs;
    this.isLearning = true;
    this.hosts.clear();
    this.meanCores = 1;
    Object.values(this.kinds).forEach((kind) => kind.clear());
    for (const [key, kind] of this.kindByKey) {
      this.loads.setWeight(key, this.kinds[kind].getWeight(key));
    }
    this.remaining = undefined;
    this.notifyUnit();
  }

  /** Records the host of a resource; undefined for none. */
  place(kind: ResourceKind, key: string, host: HostId | undefined): void {
    this.kindByKey.set(key, kind);
    const changed = this.loads.place(key, host, this.kinds[kind].getWeight(key));
    if (host === undefined) {
      this.kindByKey.delete(key);
    }
    changed.forEach((each) => this.notify(each));
  }

  /** Records the measured work of a resource, in microseconds of processor time per second. */
  record(kind: ResourceKind, key: string, work: number, nowMs: number): void {
    this.kinds[kind].record(key, work, nowMs);
    const applied = this.loads.getWeight(key);
    if (applied !== undefined && this.kinds[kind].differs(key, applied)) {
      this.applyWeight(kind, key);
    }
  }

  /** Records what a host reports of itself. */
  recordHost(
    host: HostId,
    processorShare: number | undefined,
    cores: number | undefined,
    nowMs: number,
  ): void {
    const before = this.hosts.get(host)?.cores;
    this.hosts.set(host, { processorShare, cores, atMs: nowMs });
    if (before !== cores) {
      this.notify(host);
    }
  }

  /** Removes what a host reported of itself, such as a lost one. */
  removeHost(host: HostId): void {
    this.hosts.delete(host);
  }

  /** Removes old figures and adapts the unit of the loads to the mean work. */
  refresh(nowMs: number): void {
    for (const kind of Object.values(ResourceKind)) {
      this.kinds[kind].expire(nowMs).forEach((key) => this.applyWeight(kind, key));
    }
    const wasLearning = this.isLearning;
    this.isLearning = nowMs - this.sinceMs < LEARNING_MS;
    const rescaled = Object.values(this.kinds).map((kind) => kind.rescale());
    if (rescaled.includes(true)) {
      this.remaining = this.kindByKey.entries();
    }
    if (wasLearning !== this.isLearning || rescaled.includes(true)) {
      this.meanCores = this.getMeanCores();
      this.notifyUnit();
    }
    this.applyMeans();
  }

  /** Whether resources of a kind are placed by their work; by their number otherwise. */
  isKnown(kind: ResourceKind): boolean {
    return !this.isLearning && this.kinds[kind].mean !== undefined;
  }

  /** Returns the load of a host in the unit of one kind; 0 while that kind has no figures. */
  getLoad(kind: ResourceKind, host: HostId): number {
    return this.toUnits(kind, this.loads.get(host), host);
  }

  /** Returns the load that a placed resource is on a host, in the unit of its kind. */
  getResourceLoad(kind: ResourceKind, key: string, host: HostId): number {
    return this.toUnits(kind, this.loads.getWeight(key) ?? 0, host);
  }

  /** Returns the work of a host in microseconds of processor time per second. */
  getWork(host: HostId): number {
    return this.loads.get(host);
  }

  /** Returns the weight of a placed resource in microseconds of processor time per second. */
  getResourceWork(key: string): number {
    return this.loads.getWeight(key) ?? 0;
  }

  /** Returns the share of its processor time that a host has in use; undefined when unknown. */
  getProcessorShare(host: HostId, nowMs: number): number | undefined {
    const figures = this.hosts.get(host);
    return figures !== undefined && nowMs - figures.atMs < SHARE_VALID_MS
      ? figures.processorShare
      : undefined;
  }

  private toUnits(kind: ResourceKind, work: number, host: HostId): number {
    const { mean } = this.kinds[kind];
    const capacity = (this.hosts.get(host)?.cores ?? this.meanCores) / this.meanCores;
    return mean === undefined ? 0 : Math.round((UNITS_PER_RESOURCE * work) / (mean * capacity));
  }

  private getMeanCores(): number {
    const known = [...this.hosts.values()].flatMap(({ cores }) => cores ?? []);
    return known.length === 0 ? 1 : known.reduce((sum, cores) => sum + cores, 0) / known.length;
  }

  private applyWeight(kind: ResourceKind, key: string): void {
    const host = this.loads.setWeight(key, this.kinds[kind].getWeight(key));
    if (host !== undefined) {
      this.notify(host);
    }
  }

  /**
   * Applies a changed mean to the weights that depend on it: those of resources without figures, and
   * the least weights.
   */
  private applyMeans(): void {
    const changed = new Set<HostId>();
    for (let count = 0; count < RESOURCES_PER_REFRESH && this.remaining !== undefined; count++) {
      const next = this.remaining.next();
      if (next.done === true) {
        this.remaining = undefined;
      } else {
        const [key, kind] = next.value;
        const host = this.loads.setWeight(key, this.kinds[kind].getWeight(key));
        if (host !== undefined) {
          changed.add(host);
        }
      }
    }
    changed.forEach((host) => this.notify(host));
  }

  private notifyUnit(): void {
    this.listeners.forEach((listener) => listener.unitChanged());
  }

  private notify(host: HostId): void {
    this.listeners.forEach((listener) => listener.hostChanged(host));
  }
}
