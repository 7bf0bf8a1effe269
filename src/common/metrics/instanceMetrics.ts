import { Counter, Gauge, Histogram, type Registry } from 'prom-client';
import type { GroupId, InstanceId } from '../ids/index.js';
import type { RequestClass } from './requestClass.js';
import { TIME_BUCKETS_SECONDS } from './timeHistogram.js';

const SECONDS_PER_MS = 0.001;
const OTHER_LABEL = 'other';
const OUTCOME_OK = 'ok';

/** State of one instance of a group that this daemon holds. */
export interface InstanceReading {
  readonly group: GroupId;
  readonly instance: InstanceId;
  readonly running: number;
  readonly waiting: number;
  /** Number of requests that may run at once; undefined where it is not adapted. */
  readonly concurrency?: number;
  readonly connections: number;
  readonly reachable: boolean;
  /** Replication lag behind the acknowledged writes, in milliseconds; undefined while unknown. */
  readonly lagMs: number | undefined;
  /** Whether the instance is cold, so that requests start at the pace of its group. */
  readonly isCold?: boolean;
}

type InstanceGauge = Gauge<'group' | 'instance'>;

/** Queue, lag, wait and outcome metrics by instance, recorded by the holder of its group. */
export class InstanceMetrics {
  private readonly running: InstanceGauge;
  private readonly waiting: InstanceGauge;
  private readonly connections: InstanceGauge;
  private readonly reachable: InstanceGauge;
  private readonly lag: InstanceGauge;
  private readonly concurrency: InstanceGauge;
  private readonly cold: InstanceGauge;
  private readonly requests: Counter<'instance' | 'class' | 'outcome'>;
  private readonly waits: Histogram<'instance' | 'class'>;
  private readonly readerReads: Counter;
  private readonly pacedStarts: Counter;
  private readonly readerRefusals: Counter<'reason'>;
  /** Instances that have their own label in counters; the others share `other`. */
  private readonly labels = new Set<string>();

  constructor(
    private readonly registry: Registry,
    private readonly maximumLabels: number,
  ) {
    this.running = this.createGauge('running_requests', 'Requests that hold a slot.');
    this.waiting = this.createGauge('waiting_requests', 'Requests that wait for a slot.');
    this.connections = this.createGauge('connections', 'Connections of the holder.');
    this.reachable = this.createGauge('reachable', '1 while the instance answers.');
    this.lag = this.createGauge('lag_seconds', 'Age of the data against what was acknowledged.');
    this.concurrency = this.createGauge(
      'concurrency',
      'Requests that may run at once, where overload control adapts their number.',
    );
    this.cold = this.createGauge('cold', '1 while requests start at the pace for cold instances.');
    this.pacedStarts = new Counter({
      name: 'filbertpoint_paced_starts_total',
      help: 'Requests that this daemon started on cold instances.',
      registers: [registry],
    });
    this.requests = new Counter({
      name: 'filbertpoint_instance_requests_total',
      help: 'Requests that left their holder, by outcome: ok or the diagnostic number.',
      labelNames: ['instance', 'class', 'outcome'],
      registers: [registry],
    });
    this.waits = new Histogram({
      name: 'filbertpoint_instance_wait_seconds',
      help: 'Time at the holder until a request was sent to the instance.',
      labelNames: ['instance', 'class'],
      buckets: TIME_BUCKETS_SECONDS,
      registers: [registry],
    });
    this.readerReads = new Counter({
      name: 'filbertpoint_reader_reads_total',
      help: 'Reads and statements of read-only transactions that this daemon ran as the reader of a replica.',
      registers: [registry],
    });
    this.readerRefusals = new Counter({
      name: 'filbertpoint_reader_refusals_total',
      help: 'Reads that this daemon left to the holder of the group, by reason.',
      labelNames: ['reason'],
      registers: [registry],
    });
  }

  /** Counts a read or statement that this daemon ran as the reader of a replica. */
  recordReaderRead(): void {
    this.readerReads.inc();
  }

  /** Counts a read that this daemon, as a reader, left to the holder of the group. */
  recordReaderRefusal(reason: string): void {
    this.readerRefusals.inc({ reason });
  }

  /** Counts a request that was started on a cold instance. */
  recordPacedStart(): void {
    this.pacedStarts.inc();
  }

  /** Replaces the state of all held instances; those beyond the label limit are omitted. */
  setReadings(readings: readonly InstanceReading[]): void {
    const { running, waiting, connections, reachable, lag, concurrency, cold } = this;
    const gauges = [running, waiting, connections, reachable, lag, concurrency, cold];
    gauges.forEach((gauge) => gauge.reset());
    for (const reading of readings.slice(0, this.maximumLabels)) {
      const labels = { group: reading.group, instance: reading.instance };
      this.running.set(labels, reading.running);
      this.waiting.set(labels, reading.waiting);
      this.connections.set(labels, reading.connections);
      this.reachable.set(labels, reading.reachable ? 1 : 0);
      if (reading.concurrency !== undefined) {
        this.concurrency.set(labels, reading.concurrency);
      }
      if (reading.isCold === true) {
        this.cold.set(labels, 1);
      }
      if (reading.lagMs !== undefined) {
        this.lag.set(labels, reading.lagMs * SECONDS_PER_MS);
      }
    }
  }

  /**
   * Records a request that left its holder after `waitMs` milliseconds of waiting; `code` is the
   * diagnostic number of its fault, if any.
   */
  recordRequest(
    instance: InstanceId | undefined,
    requestClass: RequestClass,
    code: number | undefined,
    waitMs: number,
  ): void {
    const labels = { instance: this.getLabel(instance), class: requestClass };
    const outcome = code === undefined ? OUTCOME_OK : `FP${code}`;
    this.requests.inc({ ...labels, outcome });
    this.waits.observe(labels, waitMs * SECONDS_PER_MS);
  }

  private getLabel(instance: InstanceId | undefined): string {
    if (instance === undefined) {
      return '';
    }
    if (this.labels.size < this.maximumLabels) {
      this.labels.add(instance);
    }
    return this.labels.has(instance) ? instance : OTHER_LABEL;
  }

  private createGauge(name: string, help: string): InstanceGauge {
    return new Gauge({
      name: `filbertpoint_instance_${name}`,
      help,
      labelNames: ['group', 'instance'],
      registers: [this.registry],
    });
  }
}
