import { Fault } from '../../common/diagnostics/index.js';
import type { AccountId } from '../../common/ids/index.js';
import type { TimerService, Unsubscribe } from '../../common/timer/index.js';
import type { BackendLink } from './backendLink.js';
import type { BackendProtocol, BackendTarget } from './backendProtocol.js';
import { WaiterQueue } from './waiterQueue.js';

/** Receives a connection, or the fault with which opening one failed. */
export interface ConnectionWaiter {
  readonly account: AccountId;
  /** Urgency, 0 first; waiters without one come after all others. */
  readonly priority?: number;
  connected(connection: BackendLink): void;
  failed(fault: Fault): void;
}

const HEARTBEAT_INTERVAL_MS = 500;
/**
 * Interval of the checks for the answer to a heartbeat, in milliseconds. A connection is closed
 * after two of them without an answer; one alone may be due to a pause of this process.
 */
const HEARTBEAT_CHECK_MS = 150;

/**
 * Delay after a failed attempt, in milliseconds: a full or starting instance needs time to recover.
 */
const REOPEN_DELAY_MS = 50;

/** An idle connection and the time since which it is idle. */
interface IdleConnection {
  readonly connection: BackendLink;
  readonly sinceMs: number;
}

/** Limits on the number of a pool's connections and on the time to open one. */
export interface PoolLimits {
  readonly maximumConnections: number;
  /** Connections opened in advance, if the protocol allows any account to use them. */
  readonly warmConnections: number;
  readonly openTimeoutMs: number;
}

/**
 * Pools the connections of this daemon to one instance, up to a limit.
 *
 * | state | connections | waiters | ends |
 * | --- | --- | --- | --- |
 * | open | opened for waiters without one | may wait | with `close`, or a failed attempt |
 * | pausing, after a failed attempt | none are opened | may wait | when the timer of the pause fires |
 * | closed | each is closed when it is opened or released | none: refused at once | never |
 */
export class ConnectionPool {
  /** Called when a connection was closed because it answered no heartbeat. */
  onUnresponsive: (() => void) | undefined;
  private idle: IdleConnection[] = [];
  private readonly waiters = new WaiterQueue();
  private readonly open = new Set<BackendLink>();
  /** Number of connections being opened by account, or under one key if they serve any account. */
  private readonly opening = new Map<string, number>();
  private openingCount = 0;
  /** The fault of each request for a connection; undefined until the pool is closed. */
  private closingFault: Fault | undefined;
  /** Ends the pause after a failed attempt; undefined while there is none. */
  private cancelPause: Unsubscribe | undefined;
  private readonly stopHeartbeats: Unsubscribe;

  constructor(
    private readonly target: BackendTarget,
    private readonly protocol: BackendProtocol,
    private limits: PoolLimits,
    private readonly timer: TimerService,
  ) {
    this.stopHeartbeats = timer.subscribe(HEARTBEAT_INTERVAL_MS, (nowMs) => this.checkIdle(nowMs));
  }

  /** Number of connections that are open or being opened. */
  get size(): number {
    return this.open.size + this.openingCount;
  }

  /** Changes the limits; closes surplus connections: idle ones now, others on their release. */
  setLimits(limits: PoolLimits): void {
    this.limits = limits;
    while (this.size > limits.maximumConnections && this.idle.length > 0) {
      this.idle.shift()?.connection.close();
    }
    this.openForWaiters();
  }

  /** Passes an idle connection to the waiter, or queues it and opens a connection. */
  acquire(waiter: ConnectionWaiter): void {
    if (this.closingFault !== undefined) {
      waiter.failed(this.closingFault);
      return;
    }
    const connection = this.takeIdle(waiter.account);
    if (connection !== undefined) {
      waiter.connected(connection);
      return;
    }
    this.waiters.push(waiter);
    this.openForWaiters();
  }

  /** Removes a waiter that no longer needs a connection. */
  abandon(waiter: ConnectionWaiter): void {
    this.waiters.remove(waiter);
  }

  /** Whether an open and idle connection is available for a request of the account. */
  hasIdle(account: AccountId): boolean {
    return this.idle.some(
      ({ connection }) =>
        isFor(connection, account) && !connection.isRetired && !connection.isClosed,
    );
  }

  /** Returns a connection to the pool; closes it if it is not reusable or above the limit. */
  release(connection: BackendLink, reusable: boolean): void {
    const isTooMany = this.size > this.limits.maximumConnections;
    if (this.closingFault !== undefined || !reusable || connection.isRetired || isTooMany) {
      connection.close();
      return;
    }
    const waiter = this.waiters.takeFirst(({ account }) => isFor(connection, account));
    if (waiter !== undefined) {
      waiter.connected(connection);
      return;
    }
    this.idle.push({ connection, sinceMs: this.timer.now() });
    this.openForWaiters();
  }

  /** Opens connections up to `warmConnections`, if the protocol allows any account to use them. */
  warm(account: AccountId): void {
    const missing = this.limits.warmConnections - this.size;
    const mayWarm = this.closingFault === undefined && !this.protocol.isPerAccount;
    for (let count = 0; count < missing && mayWarm; count++) {
      this.openConnection(account);
    }
  }

  /** Closes all idle connections, for example after one of them was unresponsive. */
  closeIdle(): void {
    for (const { connection } of this.idle.splice(0)) {
      connection.close();
    }
  }

  /** Closes all connections and fails all waiters; new connections may be opened later. */
  reset(fault: Fault): void {
    for (const waiter of this.waiters.takeAll()) {
      waiter.failed(fault);
    }
    for (const connection of [...this.open]) {
      connection.close();
    }
  }

  /** Closes the pool permanently; requests that run on its connections fail as lost. */
  close(fault: Fault): void {
    this.closingFault = fault;
    this.cancelPause?.();
    this.stopHeartbeats();
    this.reset(fault);
  }

  /** Sends heartbeats on the connections that were idle for at least the heartbeat interval. */
  private checkIdle(nowMs: number): void {
    const isDue = ({ sinceMs }: IdleConnection): boolean =>
      nowMs - sinceMs >= HEARTBEAT_INTERVAL_MS;
    const due = this.idle.filter(isDue);
    this.idle = this.idle.filter((item) => !isDue(item));
    for (const { connection } of due) {
      this.sendHeartbeat(connection);
    }
  }

  private sendHeartbeat(connection: BackendLink): void {
    let answered = false;
    connection.heartbeat(() => {
      answered = true;
      this.release(connection, true);
    });
    this.timer.once(HEARTBEAT_CHECK_MS, () => {
      this.timer.once(HEARTBEAT_CHECK_MS, () => {
        if (!answered && !connection.isClosed) {
          connection.close();
          this.onUnresponsive?.();
        }
      });
    });
  }

  private takeIdle(account: AccountId): BackendLink | undefined {
    for (let index = this.idle.length - 1; index >= 0; index -= 1) {
      const connection = this.idle[index]?.connection;
      if (connection === undefined || !isFor(connection, account)) {
        continue;
      }
      this.idle.splice(index, 1);
      if (!connection.isRetired) {
        return connection;
      }
      connection.close();
    }
    return undefined;
  }

  /**
   * Opens a connection for each waiter without one being opened, up to the connection limit. Does
   * nothing during the pause after a failed attempt.
   */
  private openForWaiters(): void {
    if (this.closingFault !== undefined || this.cancelPause !== undefined) {
      return;
    }
    const unassigned = new Map(this.opening);
    for (const { account } of this.waiters.getAll()) {
      const key = this.getKey(account);
      const pending = unassigned.get(key) ?? 0;
      if (pending > 0) {
        unassigned.set(key, pending - 1);
      } else if (this.canOpen()) {
        this.openConnection(account);
      } else {
        return;
      }
    }
  }

  /** Whether another connection may be opened; if the pool is full, closes an idle one first. */
  private canOpen(): boolean {
    if (this.size < this.limits.maximumConnections) {
      return true;
    }
    this.idle.shift()?.connection.close();
    return this.size < this.limits.maximumConnections;
  }

  private openConnection(account: AccountId): void {
    const { target, protocol, limits, timer } = this;
    this.countOpening(account, 1);
    protocol.open(target, account, limits.openTimeoutMs, timer).then(
      (connection) => this.handleOpened(connection, account),
      (cause: unknown) => this.handleOpenFailure(cause, account),
    );
  }

  private handleOpened(connection: BackendLink, account: AccountId): void {
    this.countOpening(account, -1);
    this.open.add(connection);
    connection.onClosed = () => this.remove(connection);
    this.release(connection, true);
  }

  private handleOpenFailure(cause: unknown, account: AccountId): void {
    this.countOpening(account, -1);
    if (!(cause instanceof Fault)) {
      throw cause;
    }
    const waiter = this.waiters.takeLeastUrgent(
      (each) => !this.protocol.isPerAccount || each.account === account,
    );
    this.pause();
    waiter?.failed(cause);
  }

  /** Pauses until a timer fires, which may be early by the clock; a later failure prolongs it. */
  private pause(): void {
    if (this.closingFault !== undefined) {
      return;
    }
    this.cancelPause?.();
    this.cancelPause = this.timer.once(REOPEN_DELAY_MS, () => {
      this.cancelPause = undefined;
      this.openForWaiters();
    });
  }

  private countOpening(account: AccountId, change: number): void {
    this.openingCount += change;
    const key = this.getKey(account);
    this.opening.set(key, (this.opening.get(key) ?? 0) + change);
  }

  private getKey(account: AccountId): string {
    return this.protocol.isPerAccount ? account : '';
  }

  private remove(connection: BackendLink): void {
    this.open.delete(connection);
    this.idle = this.idle.filter((item) => item.connection !== connection);
    this.openForWaiters();
  }
}

function isFor(connection: BackendLink, account: AccountId): boolean {
  return connection.account === undefined || connection.account === account;
}
