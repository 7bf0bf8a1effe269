import pg from 'pg';
import type { TimerService, Unsubscribe } from '../../common/timer/index.js';
import { toTerm } from '../../common/ids/index.js';
import { tryParseLogPosition } from '../../common/logPosition.js';
import { splitAddress } from '../../common/settings/index.js';
import { InstanceHealth } from '../../decisions/routing/index.js';
import {
  createBoundSocket,
  PRIMARY_PROBE,
  REPLICA_PROBE,
  type BackendAccess,
  type ProbeAnswer,
} from '../backend/index.js';

const PROBE_INTERVAL_MS = 50;
const URGENT_PROBE_INTERVAL_MS = 1;
const PROBE_TIMEOUT_MS = 300;
const CONNECT_TIMEOUT_MS = 300;
const RECONNECT_DELAY_MS = 50;

/** What a monitor tells its owner. */
export interface MonitorListener {
  /** The instance answered; `sentMs` is when it was asked. */
  probeAnswered(answer: ProbeAnswer, sentMs: number): void;
  /** The monitor's connection was lost or gave no answer. */
  connectionCondemned(): void;
  /** New connections fail: the instance is unreachable. */
  instanceLost(): void;
}

/** Watches one instance over a connection of its own. */
export class InstanceMonitor {
  readonly health = new InstanceHealth();
  private client: pg.Client | undefined;
  private scheduled: Unsubscribe | undefined;
  private asking = false;
  private urgent = false;
  private stopped = false;

  constructor(
    private readonly address: string,
    private readonly access: BackendAccess,
    private readonly timer: TimerService,
    private readonly listener: MonitorListener,
    private expectsPrimary: boolean,
  ) {}

  /** Begins to watch. */
  start(): void {
    void this.connect();
  }

  /** Says which probe fits the instance's role. */
  setExpectsPrimary(expectsPrimary: boolean): void {
    this.expectsPrimary = expectsPrimary;
  }

  /** Asks again as soon as possible while somebody waits for a position. */
  setUrgent(urgent: boolean): void {
    if (urgent === this.urgent) {
      return;
    }
    this.urgent = urgent;
    if (urgent && this.client !== undefined && !this.asking) {
      this.schedule(URGENT_PROBE_INTERVAL_MS);
    }
  }

  /** Checks at once whether the instance still answers. */
  check(): void {
    if (this.client !== undefined && !this.asking) {
      this.schedule(0);
    }
  }

  /** Ends the watch. */
  stop(): void {
    this.stopped = true;
    this.scheduled?.();
    this.drop();
  }

  private async connect(): Promise<void> {
    if (this.stopped) {
      return;
    }
    const client = this.createClient();
    const cancel = this.timer.once(CONNECT_TIMEOUT_MS, () => destroyClient(client));
    try {
      await client.connect();
    } catch {
      destroyClient(client);
      this.connectFailed();
      return;
    } finally {
      cancel();
    }
    if (this.isStopped()) {
      destroyClient(client);
      return;
    }
    this.client = client;
    client.once('end', () => this.condemn(client));
    await this.ask(client);
  }

  private createClient(): pg.Client {
    const { host: ip, port } = splitAddress(this.address);
    const client = new pg.Client({
      host: ip,
      port,
      user: this.access.user,
      password: this.access.password,
      database: this.access.database,
      stream: () => createBoundSocket(this.access.localIp),
    });
    client.on('error', () => undefined);
    return client;
  }

  private connectFailed(): void {
    const wasUnreachable = this.health.isUnreachable;
    this.health.connectFailed();
    if (this.health.isUnreachable && !wasUnreachable) {
      this.listener.instanceLost();
    }
    this.scheduled?.();
    this.scheduled = this.timer.once(RECONNECT_DELAY_MS, () => void this.connect());
  }

  private async ask(client: pg.Client): Promise<void> {
    this.asking = true;
    const sentMs = this.timer.now();
    const cancel = this.timer.once(PROBE_TIMEOUT_MS, () => this.condemn(client));
    try {
      const answer = await this.query(client);
      if (this.client === client) {
        this.health.probeAnswered(this.timer.now());
        this.listener.probeAnswered(answer, sentMs);
      }
    } catch {
      this.condemn(client);
    } finally {
      cancel();
      this.asking = false;
    }
    if (this.client === client) {
      this.schedule(this.urgent ? URGENT_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS);
    }
  }

  private async query(client: pg.Client): Promise<ProbeAnswer> {
    const text = this.expectsPrimary ? PRIMARY_PROBE : REPLICA_PROBE;
    const result = await client.query<unknown[]>({ text, rowMode: 'array' });
    const [inRecovery, position, term] = result.rows[0] ?? [];
    return {
      inRecovery: String(inRecovery).startsWith('t'),
      term: toTerm(Number(term)),
      position: tryParseLogPosition(String(position))._unsafeUnwrap(),
    };
  }

  private schedule(delayMs: number): void {
    this.scheduled?.();
    this.scheduled = this.timer.once(delayMs, () => {
      if (this.client !== undefined && !this.asking) {
        void this.ask(this.client);
      }
    });
  }

  private condemn(client: pg.Client): void {
    destroyClient(client);
    if (this.client !== client) {
      return;
    }
    this.client = undefined;
    this.listener.connectionCondemned();
    void this.connect();
  }

  private isStopped(): boolean {
    return this.stopped;
  }

  private drop(): void {
    const { client } = this;
    this.client = undefined;
    if (client !== undefined) {
      destroyClient(client);
    }
  }
}

function destroyClient(client: pg.Client): void {
  const inside = client as unknown as { readonly connection: { stream: { destroy(): void } } };
  inside.connection.stream.destroy();
}
