import { randomBytes } from 'node:crypto';
import { Diagnostics, type Fault } from '../common/diagnostics/index.js';
import { toFailureDomain, toHostId, toIncarnation, type Incarnation } from '../common/ids/index.js';
import { RequestLog, type Logger } from '../common/logging/index.js';
import { ConnectionSide, Metrics } from '../common/metrics/index.js';
import type { RandomSource } from '../common/random.js';
import type { Settings } from '../common/settings/index.js';
import type { TimerService } from '../common/timer/index.js';
import { DaemonRecords, type ControlRecord } from '../decisions/control/index.js';
import { ReportPacer } from '../decisions/overload/index.js';
import { tryParseTicket, type ControlMember } from '../decisions/tickets/index.js';
import {
  ConnectionLimits,
  createByteBudgetOptions,
  getMaximumHttpConnections,
} from './clients/index.js';
import { MeshControlClient, type ControlHost } from './control/index.js';
import { createControlHost } from './createControlHost.js';
import type { DaemonFiles } from './daemonFiles.js';
import type { DaemonFrontend, DaemonInterfaces, DaemonParts } from './daemonInterfaces.js';
import {
  Dispatcher,
  EntryOverload,
  EntryRequests,
  ReaderRequests,
  RemoteRequests,
  type CallerFrontend,
} from './entry/index.js';
import { ExecuteServer, exchangePositions, GroupHolder } from './holder/index.js';
import { getUsageTerms } from './getUsageTerms.js';
import {
  ControlRoute,
  LeaseTask,
  UsageRecorder,
  WorkRecorder,
  type RenewalContents,
} from './lease/index.js';
import { EventLoopMonitor, readProcessorMs } from './eventLoopMonitor.js';
import { Mesh } from './mesh/index.js';
import {
  OperatorServer,
  Readiness,
  type ControlClient,
  type ReadinessReport,
} from './operators/index.js';
import { RateTask } from './rates/index.js';
import { RequestIds, type LocalityContext } from './requests/index.js';

const INCARNATION_BYTES = 9;
const FRAME_OVERHEAD_BYTES = 65_536;
const DEFAULT_MESSAGE_BYTES = 33_554_432;
const SNAPSHOT_BYTES = 67_108_864;
/** At least the number of control members, to begin the search for the leader with any of them. */
const MAXIMUM_MEMBERS = 1000;
const METRICS_INTERVAL_MS = 1000;
const DELAYED_REQUEST_MS = 300;
const DRAIN_CHECK_MS = 20;
/**
 * Fraction of `graceMs` during which callers' statements may still start when the daemon stops. It
 * is a little over half, because callers are promised half of the total stopping time, and
 * `graceMs` leaves out the end of that time.
 */
const STATEMENT_START_FRACTION = 0.55;
/** Time for which a stopping daemon waits for the control leader to have its usage counts. */
const LAST_USAGE_MS = 1000;
/** Time reserved for sending the answers to callers' last requests, in milliseconds. */
const LAST_ANSWERS_MS = 500;

/** Settings and dependencies of a daemon. */
export interface DaemonOptions {
  readonly settings: Settings;
  readonly files: DaemonFiles;
  readonly interfaces: DaemonInterfaces;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly random: RandomSource;
  /** Whether to create a new control quorum if no log is stored. */
  readonly isFounding: boolean;
  /** Start of this process by the timer; absent if the process may have run this host before. */
  readonly processStartMs?: number;
  /** Called with a fault after which the daemon can't continue. */
  readonly onFatal: (fault: Fault) => void;
}

/** A daemon with the roles in its settings. */
export class Daemon extends Readiness {
  private readonly metrics = new Metrics();
  private readonly records: DaemonRecords;
  private readonly requestLog: RequestLog;
  private readonly limits: ConnectionLimits;
  private readonly incarnation: Incarnation;
  private readonly ids: RequestIds;
  private readonly mesh: Mesh;
  private readonly lease: LeaseTask;
  /** Counts requests for usage reports; undefined where the settings ask for none. */
  private readonly usage: UsageRecorder | undefined;
  private readonly holder: GroupHolder;
  private readonly rates: RateTask;
  private readonly readers: ReaderRequests;
  private readonly dispatcher: Dispatcher;
  private readonly requests: EntryRequests;
  /** Created when it starts: a restarted host serves callers first. */
  private operators: OperatorServer | undefined;
  private readonly controlClient: ControlClient;
  private readonly callers: CallerFrontend | undefined;
  private readonly frontends: readonly DaemonFrontend[];
  private control: ControlHost | undefined;
  private stopping = false;
  private members: Settings['control']['members'];

  constructor(private readonly options: DaemonOptions) {
    super();
    const { settings, files, timer, logger, random } = options;
    this.members = settings.control.members;
    this.records = new DaemonRecords(() => timer.now());
    const host = toHostId(settings.host);
    const domain = toFailureDomain(settings.domain);
    this.incarnation = toIncarnation(randomBytes(INCARNATION_BYTES).toString('base64url'));
    this.ids = new RequestIds(this.incarnation);
    this.requestLog = new RequestLog(logger, timer);
    const budget = createByteBudgetOptions(settings);
    this.limits = new ConnectionLimits(budget, timer, logger, this.metrics.clients);
    this.mesh = this.createMesh();
    const route = this.createRoute();
    const { incarnation, mesh, records, ids } = this;
    const { link_bytes_per_second: linkBytesPerSecond } = settings.mesh;
    const link = linkBytesPerSecond === undefined ? {} : { linkBytesPerSecond };
    const identity = { host, incarnation, domain, ...link };
    const usageTerms = getUsageTerms(settings);
    this.usage = usageTerms && new UsageRecorder(usageTerms, timer);
    const getContents = (): RenewalContents => ({
      reports: this.holder.getReports(),
      releasedGroups: this.holder.releasedGroups,
      releasedAccounts: this.rates.releasedAccounts,
      releasedTokens: this.rates.releasedTokens,
      stopping: this.stopping || !settings.roles.includes('entry'),
      ...(this.control === undefined ? {} : this.getMembership(this.control)),
    });
    const { usage } = this;
    this.lease = new LeaseTask(
      identity,
      mesh,
      route,
      records,
      timer,
      logger,
      getContents,
      usage,
      this.createWorkRecorder(),
    );
    const { lease } = this;
    const locality = this.createLocality();
    this.holder = new GroupHolder({
      domain,
      timer,
      logger,
      random,
      records,
      lease,
      log: this.requestLog,
      protocol: options.interfaces.createBackend(settings, files),
      metrics: this.metrics.instances,
      withdrawal: {
        domainMs: settings.withdrawal.domain_ms,
        instanceMs: settings.withdrawal.backend_server_ms,
      },
      ...(usage === undefined ? {} : { usage }),
      warmup: settings.warmup,
      usesRecentLatency: settings.readers.by_time,
      ...locality,
      reportNow: () => lease.renewSoon(),
      ...(settings.overload.enabled ? { loadReports: new ReportPacer() } : {}),
    });
    const { metrics } = this;
    this.rates = new RateTask(host, incarnation, mesh, timer, records, lease, metrics, () =>
      lease.renewSoon(),
    );
    new ExecuteServer(mesh, this.holder, timer, budget.totalBytes);
    exchangePositions(mesh, this.holder);
    const remote = new RemoteRequests(mesh, timer, ({ group, instance, lease: wanted }) =>
      instance === undefined
        ? records.isGroupHolder(group, wanted)
        : records.getReader(group, instance)?.holder?.lease === wanted,
    );
    const { holder } = this;
    const overload = settings.overload.enabled
      ? new EntryOverload(timer, records, metrics.overload, random)
      : undefined;
    this.readers = new ReaderRequests({
      ...{ domain, timer, records, lease, holder, remote, mesh },
      ...locality,
      ...(settings.readers.by_time
        ? { timedChoice: { random, logger, metrics: metrics.readers } }
        : {}),
      ...(overload === undefined ? {} : { overload }),
    });
    this.dispatcher = new Dispatcher(
      ids,
      timer,
      records,
      lease,
      holder,
      remote,
      this.readers,
      overload,
    );
    this.requests = this.createRequests();
    const parts = this.createParts();
    this.callers = options.interfaces.createCallers(parts);
    this.frontends = options.interfaces.createFrontends(parts);
    this.controlClient = parts.control;
    void lease.changed.stream.observe((changed) => this.recordsChanged(changed));
    void lease.validity.stream.observe(() => this.leaseChanged());
  }

  /** The port that callers connect to. */
  get callerPort(): number {
    return this.callers?.port ?? 0;
  }

  /** Bound address of the operators' interface; empty before it listens. */
  operatorAddress = '';

  /**
   * Starts every role; rejects with a Fault or system error, for example if an address is in use.
   */
  async start(): Promise<void> {
    const { settings, logger, timer, random, isFounding, processStartMs, onFatal } = this.options;
    await this.mesh.listen();
    if (settings.roles.includes('control')) {
      const { mesh, ids } = this;
      const { interfaces } = this.options;
      const platform = interfaces.createPlatform(settings, timer);
      const { consensus } = interfaces;
      const control = {
        ...interfaces.control,
        followsInstances: settings.locality.adaptive,
        placesByLoad: settings.placement.by_load,
      };
      const shared = { settings, mesh, timer, logger, random, ids, platform, control, consensus };
      const usageMetrics = this.usage === undefined ? undefined : this.metrics.usage;
      const placementMetrics = settings.placement.by_load ? this.metrics.placement : undefined;
      const context = {
        ...shared,
        usageMetrics,
        placementMetrics,
        isFounding,
        processStartMs,
        onFatal,
      };
      const created = await createControlHost(context);
      if (created.isErr()) {
        throw created.error;
      }
      this.control = created.value;
      this.control.start();
    }
    this.lease.start();
    await this.startOperators();
    await this.callers?.listen();
    for (const frontend of this.frontends) {
      await frontend.start();
    }
    this.metrics.collectProcessMetrics();
    timer.subscribe(METRICS_INTERVAL_MS, () => this.updateMetrics());
    new EventLoopMonitor(timer, logger, readProcessorMs).start();
    logger.report(Diagnostics.DaemonStarted, {}, { step: 'daemon.start', peer: this.mesh.address });
  }

  /**
   * Stops gracefully: waits up to `graceMs` for running work and for the handover of leases, then
   * closes everything.
   */
  async stop(graceMs: number): Promise<void> {
    const { logger, timer } = this.options;
    logger.report(Diagnostics.DaemonStopping, {}, { step: 'daemon.stop' });
    this.stopping = true;
    const endMs = timer.now() + graceMs;
    this.lease.renewSoon();
    this.callers?.drain();
    const noticeEndMs = timer.now() + this.options.interfaces.stopNoticeMs;
    const hasNoConnections = (): boolean => this.callers === undefined || this.callers.count === 0;
    const hasNoCallers = (): boolean => hasNoConnections() && timer.now() >= noticeEndMs;
    await this.waitUntil(hasNoCallers, timer.now() + graceMs * STATEMENT_START_FRACTION);
    this.callers?.finish();
    await this.waitUntil(hasNoCallers, endMs - LAST_ANSWERS_MS);
    this.callers?.close();
    await this.waitUntil(hasNoConnections, endMs);
    // The control leader replaces the readers of a stopping host. Draining also ends them while no
    // control leader is available.
    this.holder.readers.drain();
    const isIdle = (): boolean =>
      this.holder.count === 0 && this.holder.readers.count === 0 && this.rates.count === 0;
    await this.waitUntil(isIdle, endMs);
    await this.deliverUsage(endMs);
    // Delayed requests that still arrive in this time are refused as not run instead of being lost.
    await this.waitUntil(() => false, Math.min(endMs, timer.now() + DELAYED_REQUEST_MS));
    this.holder.stop();
    this.lease.stop();
    await this.control?.stop();
    await this.operators?.close();
    for (const frontend of this.frontends) {
      await frontend.stop();
    }
    await this.mesh.close();
    logger.report(Diagnostics.DaemonStopped, {}, { step: 'daemon.stop' });
  }

  /** Applies changed settings: the addresses of the control members. */
  reload(settings: Settings): void {
    this.members = settings.control.members;
    const { logger } = this.options;
    logger.report(Diagnostics.SettingsReloaded, {}, { step: 'daemon.reload' });
  }

  /** Reports whether callers may be sent to this daemon. */
  override read(): ReadinessReport {
    const hasLease = this.lease.isValid() && !this.stopping;
    const domain = toFailureDomain(this.options.settings.domain);
    const { isReadyOnlyInService } = this.options.interfaces;
    const isInService = !isReadyOnlyInService || this.records.isInService(domain);
    return { hasLease, hasCurrentConfiguration: hasLease, isInService };
  }

  /** Waits until the control leader has this host's usage counts, where usage is reported. */
  private async deliverUsage(endMs: number): Promise<void> {
    const { usage } = this;
    if (usage !== undefined) {
      usage.finish();
      this.lease.renewSoon();
      const limitMs = Math.min(endMs, this.options.timer.now() + LAST_USAGE_MS);
      await this.waitUntil(() => usage.isDelivered, limitMs);
    }
  }

  private async startOperators(): Promise<void> {
    this.operators = this.createOperators(this.controlClient);
    const bound = await this.operators.start();
    if (bound.isErr()) {
      throw bound.error;
    }
    this.operatorAddress = `${bound.value.host}:${bound.value.port}`;
  }

  private createMesh(): Mesh {
    const { settings, files, timer, logger } = this.options;
    const messageBytes = settings.callers?.maximum_message_bytes ?? DEFAULT_MESSAGE_BYTES;
    return new Mesh(
      {
        host: toHostId(settings.host),
        incarnation: this.incarnation,
        listen: settings.mesh.listen,
        ...(settings.mesh.advertise === undefined ? {} : { advertise: settings.mesh.advertise }),
        maximumFrameBytes: Math.max(messageBytes, SNAPSHOT_BYTES) + FRAME_OVERHEAD_BYTES,
        ...(files.meshTls === undefined ? {} : { tls: files.meshTls }),
      },
      timer,
      logger,
      this.metrics.meshTraffic,
    );
  }

  /** Creates the recorder of this host's work, where resources are placed by load. */
  private createWorkRecorder(): WorkRecorder | undefined {
    const { by_load: isByLoad, cores } = this.options.settings.placement;
    const getCounts = () => ({
      groups: this.holder.getRequestCounts(),
      readers: this.holder.readers.getRequestCounts(),
      accounts: this.rates.getMessageCounts(),
    });
    return isByLoad
      ? new WorkRecorder(this.options.timer, getCounts, cores, readProcessorMs)
      : undefined;
  }

  private createLocality(): { readonly locality?: LocalityContext } {
    const { settings, random } = this.options;
    const { adaptive, remote_cost_ms: costMs } = settings.locality;
    const { locality: metrics } = this.metrics;
    return adaptive ? { locality: { costMs, random, metrics } } : {};
  }

  private createRequests(): EntryRequests {
    const { ids, records, lease, rates, dispatcher, readers, holder, mesh, metrics } = this;
    const { timer } = this.options;
    const log = this.requestLog;
    const shared = { ids, timer, records, lease, rates, holder, mesh, metrics, log };
    return new EntryRequests({ ...shared, dispatcher, readers });
  }

  private createParts(): DaemonParts {
    const { settings, files, timer, logger } = this.options;
    const { ids, records, lease, mesh, metrics, requests } = this;
    const log = this.requestLog;
    const route = this.createRoute();
    const control = new MeshControlClient(mesh, route, ids, timer, lease, () =>
      this.control?.findConfiguration(),
    );
    const { limits } = this;
    const shared = { settings, files, timer, logger, log, metrics, records, lease, limits };
    return { ...shared, readiness: this, requests, control };
  }

  /** Returns this host as a quorum member, if members are admitted without a ticket. */
  private getMembership({ identity, canBeMember }: ControlHost): {
    readonly member?: ControlMember;
  } {
    const { settings } = this.options;
    if (!settings.control.admits_members || !canBeMember) {
      return {};
    }
    const host = toHostId(settings.host);
    const domain = toFailureDomain(settings.domain);
    return { member: { member: identity, host, domain, address: this.mesh.address } };
  }

  private createOperators(control: ControlClient): OperatorServer {
    const { settings, files, timer, logger } = this.options;
    const { operatorTokens, announcerTokens } = files;
    return new OperatorServer({
      listen: settings.operators.listen,
      control,
      readiness: this,
      metrics: this.metrics,
      timer,
      logger,
      parseTicket: tryParseTicket,
      limits: this.limits,
      maximumConnections: getMaximumHttpConnections(settings),
      ...(operatorTokens === undefined ? {} : { operatorTokens }),
      ...(announcerTokens === undefined ? {} : { announcerTokens }),
    });
  }

  private createRoute(): ControlRoute {
    const first = Math.floor(this.options.random.next() * MAXIMUM_MEMBERS);
    return new ControlRoute(() => this.getControlAddresses(), first);
  }

  private getControlAddresses(): readonly string[] {
    const inForce = this.records.getControlMembers()?.members ?? [];
    const addresses = [...inForce, ...this.members].map(({ address }) => address);
    return [...new Set(addresses)];
  }

  private recordsChanged(changed: readonly ControlRecord[]): void {
    this.holder.recordsChanged();
    this.rates.recordsChanged(changed);
    // Callers whose key was withdrawn are disconnected before their queued requests are dispatched.
    this.callers?.recordsChanged();
    this.dispatcher.recordsChanged();
  }

  private leaseChanged(): void {
    this.holder.recordsChanged();
    this.rates.leaseChanged();
    this.callers?.recordsChanged();
    this.dispatcher.recordsChanged();
    this.requests.leaseChanged();
  }

  private updateMetrics(): void {
    this.metrics.setDaemonLease(this.lease.isValid());
    this.metrics.setResourceLeases(this.holder.count, this.rates.count);
    this.metrics.setRevision(this.records.revision);
    this.metrics.setControlTerm(this.control?.term ?? 0);
    if (this.usage !== undefined) {
      this.metrics.usage.setDropped(this.usage.dropped);
    }
    this.metrics.setRefusedWrites(this.control?.refusedMs ?? 0);
    this.metrics.instances.setReadings(this.holder.getReadings());
    this.metrics.setConnections(ConnectionSide.Callers, this.callers?.count ?? 0);
    this.metrics.setConnections(ConnectionSide.Backend, this.holder.connectionCount);
    this.metrics.setConnections(ConnectionSide.Mesh, this.mesh.count);
    for (const [group, term] of this.holder.getTerms()) {
      this.metrics.setGroupTerm(group, term);
    }
    for (const group of this.holder.releasedGroups) {
      this.metrics.removeGroup(group);
    }
  }

  private waitUntil(isDone: () => boolean, endMs: number): Promise<void> {
    const { timer } = this.options;
    return new Promise((resolve) => {
      const unsubscribe = timer.subscribe(DRAIN_CHECK_MS, (nowMs) => {
        if (isDone() || nowMs >= endMs) {
          unsubscribe();
          resolve();
        }
      });
    });
  }
}
