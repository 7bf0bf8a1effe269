import { Fault } from '../../common/diagnostics/index.js';
import type { TimerService } from '../../common/timer/index.js';
import type { BackendAccess } from './backendAccess.js';
import { BackendConnection } from './backendConnection.js';

/** Takes a connection, or the fault that kept one from being opened. */
export interface ConnectionWaiter {
  connected(connection: BackendConnection): void;
  failed(fault: Fault): void;
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
  private readonly idle: BackendConnection[] = [];
  private readonly waiters: ConnectionWaiter[] = [];
  private readonly open = new Set<BackendConnection>();
  private opening = 0;
  private closed = false;

  constructor(
    private readonly address: string,
    private readonly access: BackendAccess,
    private readonly limits: PoolLimits,
    private readonly timer: TimerService,
  ) {}

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
      this.idle.push(connection);
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
    for (const connection of this.idle.splice(0)) {
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
    this.reset(fault);
  }

  private takeIdle(): BackendConnection | undefined {
    for (let connection = this.idle.pop(); connection; connection = this.idle.pop()) {
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
    const index = this.idle.indexOf(connection);
    if (index >= 0) {
      this.idle.splice(index, 1);
    }
    this.openMissing();
  }
}
