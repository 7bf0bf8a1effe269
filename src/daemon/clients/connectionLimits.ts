import { createFault, Diagnostics, Execution } from '../../common/diagnostics/index.js';
import type { Logger } from '../../common/logging/index.js';
import type { ClientMetrics } from '../../common/metrics/index.js';
import type { TimerService } from '../../common/timer/index.js';
import {
  ByteBudget,
  CloseReason,
  type ByteBudgetOptions,
  type ClosedHolder,
  type HeldBytes,
} from '../../decisions/callers/index.js';
import { ConnectionCharge } from './connectionCharge.js';
import type { LimitedConnection } from './limitedConnection.js';

/** Interval between two checks of the limits in time. */
const CHECK_INTERVAL_MS = 250;
/** Lines about closed connections that are logged in one second; the counter has all of them. */
const LOGGED_PER_SECOND = 10;
const SECOND_MS = 1000;

/** Keeps the limits on what clients make this process hold; one for all interfaces. */
export class ConnectionLimits {
  private readonly budget: ByteBudget;
  private readonly connections = new Map<HeldBytes, LimitedConnection>();
  private isCheckDue = false;
  private lastCheckMs: number;
  private loggedSinceMs = 0;
  private loggedCount = 0;

  constructor(
    options: ByteBudgetOptions,
    private readonly timer: TimerService,
    private readonly logger: Logger,
    private readonly metrics: ClientMetrics,
  ) {
    this.budget = new ByteBudget(options);
    this.lastCheckMs = timer.now();
    timer.subscribe(CHECK_INTERVAL_MS, (nowMs) => this.check(nowMs));
  }

  /** Begins to keep the limits on a connection. */
  open(connection: LimitedConnection): ConnectionCharge {
    const held = this.budget.open(this.timer.now());
    this.connections.set(held, connection);
    return new ConnectionCharge(
      this.budget,
      held,
      () => this.timer.now(),
      () => this.scheduleCheck(held),
    );
  }

  /** Closes the oldest connection that has not identified itself, to make room for a new one. */
  makeRoom(isOwn: (connection: LimitedConnection) => boolean): void {
    const held = this.budget.findReplaceable((candidate) => {
      const connection = this.connections.get(candidate);
      return connection !== undefined && isOwn(connection);
    });
    if (held !== undefined) {
      this.close({ held, reason: CloseReason.TooManyConnections });
    }
  }

  /** Closes a connection for a reason that its interface found. */
  close({ held, reason }: ClosedHolder): void {
    const connection = this.connections.get(held);
    if (connection === undefined) {
      return;
    }
    const bytes = held.total;
    this.connections.delete(held);
    this.budget.close(held);
    this.metrics.recordClosed(reason);
    this.report(reason, bytes);
    connection.closeFor(
      createFault(
        Diagnostics.ConnectionLimited,
        { reason },
        { step: 'client.limit', execution: Execution.NotRun },
      ),
    );
  }

  /** Checks the budget once the current event was handled, as closing may affect other connections. */
  private scheduleCheck(held: HeldBytes): void {
    if (!this.budget.has(held)) {
      this.connections.delete(held);
    }
    if (!this.isCheckDue && (this.budget.isExceeded || this.budget.hasWaiting)) {
      this.isCheckDue = true;
      queueMicrotask(() => {
        this.isCheckDue = false;
        this.checkBudget(this.timer.now());
      });
    }
  }

  private check(nowMs: number): void {
    const lateMs = nowMs - this.lastCheckMs - CHECK_INTERVAL_MS;
    this.lastCheckMs = nowMs;
    if (lateMs > CHECK_INTERVAL_MS) {
      this.budget.postpone(lateMs);
    }
    this.metrics.setHeldBytes(this.budget.heldBytes);
    this.connections.forEach((connection) => connection.refresh?.());
    this.budget.findOverdue(nowMs).forEach((closed) => this.close(closed));
    this.checkBudget(nowMs);
  }

  private checkBudget(nowMs: number): void {
    this.budget.findExcess(nowMs).forEach((closed) => this.close(closed));
    this.budget
      .grantReservations(nowMs)
      .forEach((held) => this.connections.get(held)?.updateReading());
  }

  private report(reason: CloseReason, bytes: number): void {
    const nowMs = this.timer.now();
    if (nowMs - this.loggedSinceMs >= SECOND_MS) {
      this.loggedSinceMs = nowMs;
      this.loggedCount = 0;
    }
    this.loggedCount += 1;
    if (this.loggedCount <= LOGGED_PER_SECOND) {
      const context = { step: 'client.limit', bytes, held: this.budget.heldBytes };
      this.logger.report(Diagnostics.ConnectionClosed, { reason }, context);
    }
  }
}
