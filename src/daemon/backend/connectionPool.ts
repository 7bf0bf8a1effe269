import { Fault } from '../../common/diagnostics/index.js';
import type { AccountId } from '../../common/ids/index.js';
import type { TimerService, Unsubscribe } from '../../common/timer/index.js';
import type { BackendLink } from './backendLink.js';
import type { BackendProtocol, BackendTarget } from './backendProtocol.js';

/** Takes a connection, or the fault that kept one from being opened. */
export interface ConnectionWaiter {
  readonly account: AccountId;
  connected(connection: BackendLink): void;
  failed(fault: Fault): void;
}

const HEARTBEAT_INTERVAL_MS = 500;
/** Two of these without an answer condemn a connection; one alone may be a pause of this process. */
const HEARTBEAT_CHECK_MS = 150;

/** Time after a failed attempt until the next: an instance that is full or starting has to come round. */
const REOPEN_DELAY_MS = 50;

/** An idle connection and since when it is idle. */
interface IdleConnection {
  readonly connection: BackendLink;
  readonly sinceMs: number;
}

/** How many connections a pool opens and how long that may take. */
export interface PoolLimits {
  readonly maximumConnections: number;
  /** Idle connections kept ready, where any account may use them. */
  readonly warmConnections: number;
  readonly openTimeoutMs: number;
}

/** The connections of this daemon to one instance; never more than the limit. */
export class ConnectionPool {
  /** Called when a connection gave no sign of life. */
  onCondemned: (() => void) | undefined;
  private idle: IdleConnection[] = [];
  private waiters: ConnectionWaiter[] = [];
  private readonly open = new Set<BackendLink>();
  /** Connections being opened, by the account that they are for; under one key when for any. */
  private readonly opening = new Map<string, number>();
  private openingCount = 0;
  private closed = false;
  private pausedUntilMs = 0;
  private readonly stopHeartbeats: Unsubscribe;

  constructor(
    private readonly target: BackendTarget,
    private readonly protocol: BackendProtocol,
    private limits: PoolLimits,
    private readonly timer: TimerService,
  ) {
    this.stopHeartbeats = timer.subscribe(HEARTBEAT_INTERVAL_MS, (nowMs) => this.checkIdle(nowMs));
  }

  /** Connections that are open or being opened. */
  get size(): number {
    return this.open.size + this.openingCount;
  }

  /** Changes the limits; connections above them are closed once they are given back. */
  setLimits(limits: PoolLimits): void {
    this.limits = limits;
    while (this.size > limits.maximumConnections && this.idle.length > 0) {
      this.idle.shift()?.connection.close();
    }
    this.openMissing();
  }

  /** Gives the waiter an idle connection or opens one. */
  acquire(waiter: ConnectionWaiter): void {
    const connection = this.takeIdle(waiter.account);
    if (connection !== undefined) {
      waiter.connected(connection);
      return;
    }
    this.waiters.push(waiter);
    this.openMissing();
  }

  /** Whether a request of the account finds a connection that is open and idle. */
  hasIdle(account: AccountId): boolean {
    return this.idle.some(
      ({ connection }) => isFor(connection, account) && !connection.isWorn && !connection.isClosed,
    );
  }

  /** Takes a connection back; one that is worn or unclean is closed. */
  release(connection: BackendLink, reusable: boolean): void {
    const isTooMany = this.size > this.limits.maximumConnections;
    if (this.closed || !reusable || connection.isWorn || isTooMany) {
      connection.close();
      return;
    }
    const index = this.waiters.findIndex(({ account }) => isFor(connection, account));
    const [waiter] = index < 0 ? [] : this.waiters.splice(index, 1);
    if (waiter !== undefined) {
      waiter.connected(connection);
      return;
    }
    this.idle.push({ connection, sinceMs: this.timer.now() });
    this.openMissing();
  }

  /** Opens connections until the wanted number is ready, where any account may use them. */
  warm(account: AccountId): void {
    const missing = this.limits.warmConnections - this.size;
    for (let count = 0; count < missing && !this.closed && !this.protocol.isPerAccount; count++) {
      this.openOne(account);
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
          this.onCondemned?.();
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
      if (!connection.isWorn) {
        return connection;
      }
      connection.close();
    }
    return undefined;
  }

  /** Opens a connection for the first waiter whose account has too few under way. */
  private openMissing(): void {
    if (this.timer.now() < this.pausedUntilMs) {
      return;
    }
    const unserved = new Map(this.opening);
    for (const { account } of [...this.waiters]) {
      const key = this.getKey(account);
      const pending = unserved.get(key) ?? 0;
      if (pending > 0) {
        unserved.set(key, pending - 1);
      } else if (this.canOpen()) {
        this.openOne(account);
      } else {
        return;
      }
    }
  }

  /** Whether one more may be opened, perhaps in place of one that idles for another account. */
  private canOpen(): boolean {
    if (this.size < this.limits.maximumConnections) {
      return true;
    }
    this.idle.shift()?.connection.close();
    return this.size < this.limits.maximumConnections;
  }

  private openOne(account: AccountId): void {
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
    const index = this.waiters.findIndex(
      (waiter) => !this.protocol.isPerAccount || waiter.account === account,
    );
    const [waiter] = index < 0 ? [] : this.waiters.splice(index, 1);
    this.pausedUntilMs = this.timer.now() + REOPEN_DELAY_MS;
    this.timer.once(REOPEN_DELAY_MS, () => this.openMissing());
    waiter?.failed(cause);
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
    this.openMissing();
  }
}

function isFor(connection: BackendLink, account: AccountId): boolean {
  return connection.account === undefined || connection.account === account;
}
