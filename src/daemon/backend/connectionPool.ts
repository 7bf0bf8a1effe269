import { Fault } from '../../common/diagnostics/index.js';
import type { TimerService, Unsubscribe } from '../../common/timer/index.js';
import type { BackendAccess } from './backendAccess.js';
import { BackendConnection } from './backendConnection.js';

/** Takes a connection, or the fault that kept one from being opened. */
export interface ConnectionWaiter {
  connected(connection: BackendConnection): void;
  failed(fault: Fault): void;
}

const HEARTBEAT_INTERVAL_MS = 500;
/** Two of these without an answer condemn a connection; one alone may be a pause of this process. */
const HEARTBEAT_WAIT_MS = 150;

/** An idle connection and since when it is idle. */
interface IdleConnection {
  readonly connection: BackendConnection;
  readonly sinceMs: number;
}

/** How many connections a pool opens and how long that may take. */
export interface PoolLimits {
  readonly maximumConnections: number;
  /** Idle connections kept ready. */
  readonly warmConnections: number;
  readonly openTimeoutMs: number;
}

/** The connections of this daemon to one instance; never more than the limit. */
export class ConnectionPool {
  /** Called when a connection gave no sign of life. */
  onCondemned: (() => void) | undefined;
  private idle: IdleConnection[] = [];
  private readonly waiters: ConnectionWaiter[] = [];
  private readonly open = new Set<BackendConnection>();
  private opening = 0;
  private closed = false;
  private readonly stopHeartbeats: Unsubscribe;

  constructor(
    private readonly address: string,
    private readonly access: BackendAccess,
    private readonly limits: PoolLimits,
    private readonly timer: TimerService,
  ) {
    this.stopHeartbeats = timer.subscribe(HEARTBEAT_INTERVAL_MS, (nowMs) => this.check(nowMs));
  }

  /** Connections that are open or being opened. */
  get size(): number {
    return this.open.size + this.opening;
  }

  /** Gives the waiter an idle connection or opens one. */
  acquire(waiter: ConnectionWaiter): void {
    const connection = this.takeIdle();
    if (connection !== undefined) {
      waiter.connected(connection);
      return;
    }
    this.waiters.push(waiter);
    this.openMissing();
  }

  /** Takes a connection back; one that is worn or unclean is closed. */
  release(connection: BackendConnection, reusable: boolean): void {
    if (this.closed || !reusable || connection.isWorn) {
      connection.close();
      return;
    }
    const waiter = this.waiters.shift();
    if (waiter === undefined) {
      this.idle.push({ connection, sinceMs: this.timer.now() });
      return;
    }
    waiter.connected(connection);
  }

  /** Opens connections until the wanted number is ready. */
  warm(): void {
    const missing = this.limits.warmConnections - this.size;
    for (let count = 0; count < missing && !this.closed; count += 1) {
      this.openOne();
    }
  }

  /** Closes idle connections, as after one of them proved silent. */
  closeIdle(): void {
    for (const { connection } of this.idle.splice(0)) {
      connection.close();
    }
  }

  /** Closes all connections and fails all waiters; new connections may be opened later. */
  reset(fault: Fault): void {
    for (const waiter of this.waiters.splice(0)) {
      waiter.failed(fault);
    }
    for (const connection of [...this.open]) {
      connection.close();
    }
  }

  /** Closes the pool for good; requests that run on its connections are lost. */
  close(fault: Fault): void {
    this.closed = true;
    this.stopHeartbeats();
    this.reset(fault);
  }

  /** Asks the connections that were idle for a while for a sign of life. */
  private check(nowMs: number): void {
    const isDue = ({ sinceMs }: IdleConnection): boolean =>
      nowMs - sinceMs >= HEARTBEAT_INTERVAL_MS;
    const due = this.idle.filter(isDue);
    this.idle = this.idle.filter((item) => !isDue(item));
    for (const { connection } of due) {
      this.checkOne(connection);
    }
  }

  private checkOne(connection: BackendConnection): void {
    let answered = false;
    connection.heartbeat(() => {
      answered = true;
      this.release(connection, true);
    });
    this.timer.once(HEARTBEAT_WAIT_MS, () => {
      this.timer.once(HEARTBEAT_WAIT_MS, () => {
        if (!answered && !connection.isClosed) {
          connection.close();
          this.onCondemned?.();
        }
      });
    });
  }

  private takeIdle(): BackendConnection | undefined {
    for (let item = this.idle.pop(); item !== undefined; item = this.idle.pop()) {
      const { connection } = item;
      if (!connection.isWorn) {
        return connection;
      }
      connection.close();
    }
    return undefined;
  }

  private openMissing(): void {
    if (this.opening < this.waiters.length && this.size < this.limits.maximumConnections) {
      this.openOne();
    }
  }

  private openOne(): void {
    this.opening += 1;
    BackendConnection.open(this.address, this.access, this.limits.openTimeoutMs, this.timer).then(
      (connection) => this.opened(connection),
      (cause: unknown) => this.openFailed(cause),
    );
  }

  private opened(connection: BackendConnection): void {
    this.opening -= 1;
    this.open.add(connection);
    connection.onClosed = () => this.forget(connection);
    this.release(connection, true);
  }

  private openFailed(cause: unknown): void {
    this.opening -= 1;
    if (!(cause instanceof Fault)) {
      throw cause;
    }
    this.waiters.shift()?.failed(cause);
    this.openMissing();
  }

  private forget(connection: BackendConnection): void {
    this.open.delete(connection);
    this.idle = this.idle.filter((item) => item.connection !== connection);
    this.openMissing();
  }
}
