import { Diagnostics } from '../../src/common/diagnostics/index.js';
import { toTerm, type LogPosition, type Term } from '../../src/common/ids/index.js';
import type { Logger } from '../../src/common/logging/index.js';
import type { TimerService } from '../../src/common/timer/index.js';
import { InstanceRole, type Announcement } from '../../src/decisions/control/index.js';
import type { LogRecord, TermStart } from '../log/index.js';
import { Announcer } from '../platform/announcer.js';
import { HttpClient, splitAddress } from '../platform/httpClient.js';
import { HttpServer } from '../platform/httpServer.js';
import { Follower, type ReplicationState } from '../replication/index.js';
import type { StandinSettings } from '../settings/index.js';
import { PostgresServer, ReceivedRecorder } from '../wire/index.js';
import { Engine } from './engine.js';
import { createFaults, type FaultChange, type Faults } from './faults.js';
import { createAnnouncement } from './createAnnouncement.js';
import { createInstanceStatus, type InstanceStatus } from './instanceStatus.js';
import { Promotion } from './promotion.js';
import type { PromotionOrder } from './promotionOrder.js';
import { ServiceTime } from './serviceTime.js';
import { SlotGate } from './slotGate.js';
import { StatementRunner } from './statementRunner.js';

const NOTICE_TIMEOUT_MS = 500;

/** One stand-in of a PostgreSQL server with its log, replication and platform interface. */
export class StandinInstance {
  private readonly engine = new Engine();
  private readonly faults: Faults;
  private readonly client: HttpClient;
  private readonly slots: SlotGate;
  private readonly runner: StatementRunner;
  private readonly received: ReceivedRecorder;
  private readonly follower: Follower;
  private readonly promotion: Promotion;
  private readonly announcer: Announcer;
  private readonly postgres: PostgresServer;
  private readonly http: HttpServer;
  private peers: readonly string[];
  private targets: readonly string[];

  constructor(
    private readonly settings: StandinSettings,
    private readonly timer: TimerService,
    private readonly logger: Logger,
  ) {
    this.faults = createFaults(settings);
    this.peers = settings.peers;
    this.targets = settings.filbertpoint;
    this.client = new HttpClient(this.host);
    this.slots = new SlotGate(settings.slots);
    const serviceTime = new ServiceTime(settings.seed);
    this.runner = new StatementRunner(this.slots, this.faults, serviceTime, timer);
    this.received = new ReceivedRecorder(settings.received_limit_bytes);
    this.follower = this.createFollower();
    this.promotion = this.createPromotion();
    this.announcer = this.createAnnouncer();
    this.postgres = this.createPostgres();
    this.http = this.createHttp();
  }

  /** The PostgreSQL address `ip:port`, once started. */
  get address(): string {
    return `${this.host}:${this.postgres.port}`;
  }

  /** The HTTP address `ip:port`, once started. */
  get platform(): string {
    return `${splitAddress(this.settings.http).host}:${this.http.port}`;
  }

  /** Whether clients are served: the instance is primary or has copied its primary once. */
  get isServing(): boolean {
    return !this.engine.isReplica || this.follower.hasCopied;
  }

  get role(): InstanceRole {
    return this.engine.isReplica ? InstanceRole.Replica : InstanceRole.Primary;
  }

  get term(): Term {
    return this.engine.log.term;
  }

  get position(): LogPosition {
    return this.engine.log.position;
  }

  /** The committed records, for checks of what was applied. */
  get records(): readonly LogRecord[] {
    return this.engine.log.records;
  }

  /** Listens, takes its role and begins to follow and to announce. */
  async start(): Promise<void> {
    const { listen, http } = this.settings;
    await this.http.listen(splitAddress(http).host, splitAddress(http).port);
    await this.takeRole();
    this.follower.start();
    await this.follower.poll();
    await this.postgres.listen(this.host, splitAddress(listen).port);
    this.announcer.start();
    const { address, platform, role } = this;
    this.logger.report(Diagnostics.InstanceStarted, {}, { address, platform, role });
  }

  /** Ends all connections and stops. */
  async stop(): Promise<void> {
    this.announcer.stop();
    this.follower.stop();
    await this.postgres.close();
    await this.http.close();
    this.client.close();
    this.logger.report(Diagnostics.InstanceStopped, {});
  }

  /** Sets the HTTP addresses of the other instances. */
  setPeers(addresses: readonly string[]): void {
    this.peers = addresses;
  }

  /** Sets the HTTP addresses that take announcements. */
  setFilbertpoint(addresses: readonly string[]): void {
    this.targets = addresses;
  }

  /** Changes faults; what the change does not name stays as it is. */
  setFaults(change: FaultChange): void {
    Object.assign(this.faults, change);
    if (this.faults.cutOff) {
      this.postgres.cutAll();
      this.http.endStreams();
      this.client.close();
    }
    if (this.faults.cutOff || this.faults.replicationStopped) {
      this.follower.disconnect();
    }
    if (change.leaving !== undefined) {
      void this.announcer.announce();
    }
  }

  /** Makes the present connections silent for good; new ones work. */
  silenceConnections(): void {
    this.postgres.silenceAll();
  }

  /** Promotes the instance as the platform would. */
  promote(term: Term): Promise<TermStart | undefined> {
    const { group, instance } = this.settings;
    return this.promotion.carryOut({ group, instance, term });
  }

  /** How many messages from clients contain a text, and whether all messages were kept. */
  countReceived(text: string): { readonly count: number; readonly complete: boolean } {
    return {
      count: this.received.countContaining(text),
      complete: this.received.isComplete,
    };
  }

  /** The instance's state and the highest use of its limits. */
  getStatus(): InstanceStatus {
    const { engine, settings, slots, runner, postgres, role, isServing } = this;
    return createInstanceStatus({ engine, settings, slots, runner, postgres, role, isServing });
  }

  private get host(): string {
    return splitAddress(this.settings.listen).host;
  }

  private async takeRole(): Promise<void> {
    if (this.settings.role !== 'primary') {
      return;
    }
    const term = toTerm(this.settings.term);
    const states = await this.follower.fetchPeers();
    const isTaken = states.some(({ state }) => (state.history.at(-1)?.term ?? 0) >= term);
    if (!isTaken) {
      this.engine.promote(term);
    }
  }

  private createFollower(): Follower {
    return new Follower({
      engine: this.engine,
      faults: this.faults,
      client: this.client,
      timer: this.timer,
      logger: this.logger,
      pollIntervalMs: this.settings.peer_poll_ms,
      getPeers: () => this.peers,
      historyChanged: () => {
        this.postgres.terminateAll(Diagnostics.InstanceDemoted);
        this.http.endStreams();
      },
    });
  }

  private createPromotion(): Promotion {
    return new Promotion({
      settings: this.settings,
      engine: this.engine,
      faults: this.faults,
      timer: this.timer,
      isServing: () => this.isServing,
      prepare: () => {
        this.follower.disconnect();
        this.http.endStreams();
      },
      promoted: (start) => this.notifyPromoted(start),
    });
  }

  private notifyPromoted({ term, position }: TermStart): void {
    this.logger.report(Diagnostics.InstancePromoted, { term, position });
    void this.announcer.announce();
    for (const address of this.peers) {
      const path = '/replication/notice';
      void this.client.call({ address, method: 'POST', path, timeoutMs: NOTICE_TIMEOUT_MS });
    }
  }

  private createAnnouncer(): Announcer {
    return new Announcer({
      client: this.client,
      timer: this.timer,
      intervalMs: this.settings.announce_interval_ms,
      token: this.settings.announcement_token,
      getTargets: () => this.targets,
      tryGetAnnouncement: () => this.tryGetAnnouncement(),
    });
  }

  private tryGetAnnouncement(): Announcement | undefined {
    const { settings, faults, engine, address, platform, role } = this;
    const isListening = this.postgres.port !== 0;
    if (faults.cutOff || faults.announcementsStopped || !this.isServing || !isListening) {
      return undefined;
    }
    const { term, position } = engine.log;
    const { leaving } = faults;
    return createAnnouncement(settings, { address, platform, role, term, position, leaving });
  }

  private createPostgres(): PostgresServer {
    return new PostgresServer({
      engine: this.engine,
      runner: this.runner,
      timer: this.timer,
      faults: this.faults,
      received: this.received,
      user: this.settings.user,
      password: this.settings.password,
      connectionLimit: this.settings.connection_limit,
      isServing: () => this.isServing,
    });
  }

  private createHttp(): HttpServer {
    return new HttpServer({
      engine: this.engine,
      faults: this.faults,
      timer: this.timer,
      promote: (order: PromotionOrder) => this.promotion.carryOut(order),
      changeFaults: (change) => this.setFaults(change),
      silence: () => this.silenceConnections(),
      lookAtPeers: () => void this.follower.poll(),
      getState: () => this.getReplicationState(),
      getStatus: () => this.getStatus(),
      countReceived: (text) => this.countReceived(text),
    });
  }

  private getReplicationState(): ReplicationState {
    const { log, isReplica } = this.engine;
    return {
      instance: this.settings.instance,
      isPrimary: !isReplica,
      history: [...log.history],
      position: log.position,
    };
  }
}
