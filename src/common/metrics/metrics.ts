import { setImmediate } from 'node:timers/promises';
import { Counter, Gauge, Registry, collectDefaultMetrics } from 'prom-client';
import type { AccountId, GroupId, Revision, Term } from '../ids/index.js';
import { AccountMetrics, type AccountCollectors } from './accountMetrics.js';
import { ClientMetrics } from './clientMetrics.js';
import { ConnectionSide } from './connectionSide.js';
import { InstanceMetrics } from './instanceMetrics.js';
import { LocalityMetrics } from './localityMetrics.js';
import { MeshTraffic } from './meshTraffic.js';
import { OverloadMetrics } from './overloadMetrics.js';
import { PlacementMetrics } from './placementMetrics.js';
import { PriorityMetrics } from './priorityMetrics.js';
import { ReaderMetrics } from './readerMetrics.js';
import { ReadSource } from './readSource.js';
import { TimeHistogram } from './timeHistogram.js';
import { UsageMetrics } from './usageMetrics.js';

/** Interval of the samples of event loop delay; each sample wakes an idle process. */
const EVENT_LOOP_PRECISION_MS = 100;

/**
 * Maximum number of accounts, groups and instances with their own labels, for each kind. Further
 * accounts and instances share the label `other` in counters; further groups have no series.
 */
export const MAXIMUM_LABELS = 100;

const MS_PER_SECOND = 1000;
const OTHER_LABEL = 'other';

/** Metrics of one daemon, in their own registry. */
export class Metrics {
  readonly registry = new Registry();
  readonly meshTraffic = new MeshTraffic(this.registry);
  readonly overload = new OverloadMetrics(this.registry);
  readonly clients = new ClientMetrics(this.registry);
  readonly readers = new ReaderMetrics(this.registry);
  readonly instances: InstanceMetrics;
  readonly priorities: PriorityMetrics;
  private usageMetrics: UsageMetrics | undefined;
  private placementMetrics: PlacementMetrics | undefined;
  readonly locality: LocalityMetrics;
  private readonly collectors: AccountCollectors;
  private readonly accounts = new Map<string, AccountMetrics>();
  private readonly groups = new Set<GroupId>();
  private readonly reads: Readonly<Record<ReadSource, Counter.Internal>>;
  private readonly connections: Readonly<Record<ConnectionSide, Gauge.Internal<'side'>>>;
  private readonly daemonLease: Gauge;
  private readonly groupLeases: Gauge.Internal<'kind'>;
  private readonly accountLeases: Gauge.Internal<'kind'>;
  private readonly revision: Gauge;
  private readonly controlTerm: Gauge;
  private readonly refusedWrites: Gauge;
  private readonly groupTerm: Gauge<'group'>;

  constructor(private readonly maximumLabels = MAXIMUM_LABELS) {
    this.collectors = this.createAccountCollectors();
    this.instances = new InstanceMetrics(this.registry, maximumLabels);
    this.priorities = new PriorityMetrics(this.registry);
    this.locality = new LocalityMetrics(this.registry, maximumLabels);
    const reads = this.createCounter('reads_total', 'Reads by where they were served.', 'source');
    this.reads = {
      [ReadSource.Replica]: reads.labels(ReadSource.Replica),
      [ReadSource.Primary]: reads.labels(ReadSource.Primary),
    };
    Object.values(this.reads).forEach((counter) => counter.inc(0));
    const connections = this.createGauge('connections', 'Open connections by side.', 'side');
    this.connections = {
      [ConnectionSide.Callers]: connections.labels(ConnectionSide.Callers),
      [ConnectionSide.Backend]: connections.labels(ConnectionSide.Backend),
      [ConnectionSide.Mesh]: connections.labels(ConnectionSide.Mesh),
    };
    this.daemonLease = this.createGauge('daemon_lease', '1 while the daemon lease is held.');
    const leases = this.createGauge('resource_leases', 'Resource leases held, by kind.', 'kind');
    this.groupLeases = leases.labels('group');
    this.accountLeases = leases.labels('account');
    this.revision = this.createGauge('configuration_revision', 'Revision that was applied.');
    this.controlTerm = this.createGauge('control_term', 'Newest term of the control quorum.');
    const help =
      'Time for which the disk of the control log has refused writes; 0 while it takes them.';
    this.refusedWrites = this.createGauge('control_log_refused_seconds', help);
    this.groupTerm = this.createGauge('group_term', 'Term of each group held here.', 'group');
  }

  /** Adds the metrics of the process: processor time, memory, event loop delay. */
  collectProcessMetrics(): void {
    collectDefaultMetrics({
      register: this.registry,
      eventLoopMonitoringPrecision: EVENT_LOOP_PRECISION_MS,
    });
  }

  /** Returns the metrics of one client account; the object may be cached. */
  getAccount(account: AccountId): AccountMetrics {
    return this.accounts.get(account) ?? this.addAccount(account);
  }

  /** Counters of usage reports; on the page from their first use on, where usage is reported. */
  get usage(): UsageMetrics {
    this.usageMetrics ??= new UsageMetrics(this.registry);
    return this.usageMetrics;
  }

  /** Counters of the placement by load; on the page from their first use on. */
  get placement(): PlacementMetrics {
    this.placementMetrics ??= new PlacementMetrics(this.registry);
    return this.placementMetrics;
  }

  /** Records where a read was served. */
  recordRead(source: ReadSource): void {
    this.reads[source].inc();
  }

  /** Sets the number of open connections of one side. */
  setConnections(side: ConnectionSide, count: number): void {
    this.connections[side].set(count);
  }

  /** Sets whether the daemon lease is held. */
  setDaemonLease(isHeld: boolean): void {
    this.daemonLease.set(isHeld ? 1 : 0);
  }

  /** Sets the number of resource leases held under the daemon lease. */
  setResourceLeases(groups: number, accounts: number): void {
    this.groupLeases.set(groups);
    this.accountLeases.set(accounts);
  }

  /** Sets the configuration revision that was applied last. */
  setRevision(revision: Revision): void {
    this.revision.set(revision);
  }

  /** Sets the newest known term of the control quorum. */
  setControlTerm(term: number): void {
    this.controlTerm.set(term);
  }

  /** Sets for how long the disk of the control log has refused writes, in milliseconds. */
  setRefusedWrites(refusedMs: number): void {
    this.refusedWrites.set(refusedMs / MS_PER_SECOND);
  }

  /** Sets the term of a group that this daemon holds; groups beyond the limit are omitted. */
  setGroupTerm(group: GroupId, term: Term): void {
    if (this.groups.has(group) || this.groups.size < this.maximumLabels) {
      this.groups.add(group);
      this.groupTerm.labels(group).set(term);
    }
  }

  /** Removes the term of a database group that this daemon no longer holds. */
  removeGroup(group: GroupId): void {
    if (this.groups.delete(group)) {
      this.groupTerm.remove(group);
    }
  }

  /** Formats the page in Prometheus text format; yields to the event loop after each metric. */
  async format(): Promise<string> {
    const texts: string[] = [];
    for (const { name } of this.registry.getMetricsAsArray()) {
      texts.push(await this.registry.getSingleMetricAsString(name));
      await setImmediate();
    }
    return `${texts.join('\n\n')}\n`;
  }

  private addAccount(account: AccountId): AccountMetrics {
    const label = this.accounts.size < this.maximumLabels ? account : OTHER_LABEL;
    let metrics = this.accounts.get(label);
    if (metrics === undefined) {
      metrics = new AccountMetrics(label, this.collectors);
      this.accounts.set(label, metrics);
    }
    return metrics;
  }

  private createAccountCollectors(): AccountCollectors {
    return {
      wait: this.createHistogram('request_wait_seconds', 'Time until a request was sent.'),
      service: this.createHistogram('request_service_seconds', 'Time at the backend server.'),
      total: this.createHistogram('request_total_seconds', 'Time from arrival to answer.'),
      admitted: this.createCounter('requests_admitted_total', 'Requests admitted.', 'account'),
      refused: new Counter({
        name: 'filbertpoint_requests_refused_total',
        help: 'Requests refused, by diagnostic number.',
        labelNames: ['account', 'code'],
        registers: [this.registry],
      }),
      tokensGranted: this.createCounter('tokens_granted_total', 'Rate tokens granted.', 'account'),
      tokensReturned: this.createCounter(
        'tokens_returned_total',
        'Rate tokens returned unused.',
        'account',
      ),
    };
  }

  private createHistogram(name: string, help: string): TimeHistogram {
    return new TimeHistogram(`filbertpoint_${name}`, help, this.registry);
  }

  private createCounter<Label extends string>(
    name: string,
    help: string,
    ...labelNames: Label[]
  ): Counter<Label> {
    return new Counter({
      name: `filbertpoint_${name}`,
      help,
      labelNames,
      registers: [this.registry],
    });
  }

  private createGauge<Label extends string>(
    name: string,
    help: string,
    ...labelNames: Label[]
  ): Gauge<Label> {
    return new Gauge({
      name: `filbertpoint_${name}`,
      help,
      labelNames,
      registers: [this.registry],
    });
  }
}
