import type { TimerService, Unsubscribe } from '../../common/timer/index.js';
import { InstanceHealth } from '../../decisions/routing/index.js';
import {
  ProbeDepth,
  type BackendProbe,
  type BackendProtocol,
  type BackendTarget,
  type ProbeAnswer,
} from '../backend/index.js';

const PROBE_INTERVAL_MS = 100;
const URGENT_PROBE_INTERVAL_MS = 1;
const PROBE_TIMEOUT_MS = 150;
/** Interval of full probes, which occupy one of the instance's few slots. */
const FULL_PROBE_INTERVAL_MS = 1000;
const CONNECT_TIMEOUT_MS = 250;
/**
 * Time between overlapping connection attempts. They tell a lost packet from an unreachable
 * instance without waiting for two time-outs in a row.
 */
const ATTEMPT_SPACING_MS = 50;
/**
 * An instance that answers on a new connection within this time after a probe failed is not merely
 * slow: its older connections without an answer may be dead.
 */
const RESPONSIVE_MS = 100;

/** Receives the events of an instance monitor. */
export interface MonitorListener {
  /** Called when the instance answered the probe that was sent at `sentMs`. */
  probeAnswered(answer: ProbeAnswer, sentMs: number): void;
  /** Called when the monitor's connection was lost or a probe was not answered in time. */
  probeFailed(): void;
  /**
   * Called when a new connection was answered promptly after an older one got no answer: other
   * connections opened before may be dead as well.
   */
  connectionsSuspected(): void;
  /** Called when new connections fail, so that the instance counts as unreachable. */
  instanceUnreachable(): void;
}

/** Monitors one instance by probes over a dedicated connection. */
export class InstanceMonitor {
  readonly health = new InstanceHealth();
  private connection: BackendProbe | undefined;
  private readonly attempts = new Set<BackendProbe>();
  private scheduled: Unsubscribe | undefined;
  private probing: BackendProbe | undefined;
  private urgent = false;
  private sendsFullProbes = false;
  private lastFullProbeMs = -FULL_PROBE_INTERVAL_MS;
  private stopped = false;
  private probeFailedMs: number | undefined;

  constructor(
    private readonly target: BackendTarget,
    private readonly protocol: BackendProtocol,
    private readonly timer: TimerService,
    private readonly listener: MonitorListener,
    private expectsPrimary: boolean,
  ) {}

  /** Starts monitoring. */
  start(): void {
    this.startAttempt();
  }

  /** Sets whether probes expect the instance to be the primary. */
  setExpectsPrimary(expectsPrimary: boolean): void {
    this.expectsPrimary = expectsPrimary;
  }

  /** Sets whether every probe requests the full state of the instance. */
  setFullProbes(isFull: boolean): void {
    if (isFull && !this.sendsFullProbes) {
      this.scheduleProbe(0);
    }
    this.sendsFullProbes = isFull;
  }

  /**
   * Sets whether probes are sent at the shortest interval, while a request waits for a position.
   */
  setUrgent(urgent: boolean): void {
    if (urgent === this.urgent) {
      return;
    }
    this.urgent = urgent;
    if (urgent) {
      this.scheduleProbe(URGENT_PROBE_INTERVAL_MS);
    }
  }

  /** Sends a probe immediately to check whether the instance still answers. */
  check(): void {
    this.scheduleProbe(0);
  }

  /** Stops monitoring and closes the monitor's connections. */
  stop(): void {
    this.stopped = true;
    this.scheduled?.();
    this.connection?.close();
    this.connection = undefined;
    for (const attempt of this.attempts) {
      attempt.close();
    }
  }

  /** Starts a connection attempt, and further ones at short intervals until one succeeds. */
  private startAttempt(): void {
    if (this.stopped || this.connection !== undefined) {
      return;
    }
    const attempt = this.protocol.createProbe(this.target, this.timer);
    this.attempts.add(attempt);
    attempt.open(CONNECT_TIMEOUT_MS).then(
      (isAccepted) => (isAccepted ? this.attemptSucceeded(attempt) : this.attemptRefused(attempt)),
      () => this.attemptFailed(attempt),
    );
    this.timer.once(ATTEMPT_SPACING_MS, () => this.startAttempt());
  }

  private attemptSucceeded(attempt: BackendProbe): void {
    this.attempts.delete(attempt);
    if (this.stopped || this.connection !== undefined) {
      attempt.close();
      return;
    }
    this.connection = attempt;
    void this.probe(attempt);
  }

  /**
   * Handles an instance that has no connection left. It is running, and will close the connections
   * of a failed holder without further action.
   */
  private attemptRefused(attempt: BackendProbe): void {
    this.attempts.delete(attempt);
    this.health.recordRefusedConnection();
  }

  private attemptFailed(attempt: BackendProbe): void {
    this.attempts.delete(attempt);
    if (this.stopped || this.connection !== undefined) {
      return;
    }
    const wasUnreachable = this.health.isUnreachable;
    this.health.recordFailedConnection();
    if (this.health.isUnreachable && !wasUnreachable) {
      this.listener.instanceUnreachable();
    }
  }

  private async probe(connection: BackendProbe): Promise<void> {
    this.probing = connection;
    const sentMs = this.timer.now();
    try {
      const answer = await connection.queryState(
        this.getDepth(sentMs),
        this.expectsPrimary,
        PROBE_TIMEOUT_MS,
      );
      if (this.connection === connection) {
        this.health.recordProbeAnswer(this.timer.now());
        this.listener.probeAnswered(answer, sentMs);
        this.reportSuspectedConnections();
      }
    } catch {
      this.dropConnection(connection);
    }
    if (this.probing === connection) {
      this.probing = undefined;
    }
    this.scheduleProbe(this.urgent ? URGENT_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS);
  }

  /**
   * Returns the depth of the next probe: the full state once per interval, or each time while
   * needed.
   */
  private getDepth(nowMs: number): ProbeDepth {
    if (!this.sendsFullProbes && nowMs - this.lastFullProbeMs < FULL_PROBE_INTERVAL_MS) {
      return ProbeDepth.Position;
    }
    this.lastFullProbeMs = nowMs;
    return ProbeDepth.FullState;
  }

  private scheduleProbe(delayMs: number): void {
    const { connection } = this;
    if (connection === undefined || this.probing === connection) {
      return;
    }
    this.scheduled?.();
    this.scheduled = this.timer.once(delayMs, () => {
      if (this.connection === connection && this.probing !== connection) {
        void this.probe(connection);
      }
    });
  }

  private reportSuspectedConnections(): void {
    const { probeFailedMs } = this;
    this.probeFailedMs = undefined;
    if (probeFailedMs !== undefined && this.timer.now() - probeFailedMs < RESPONSIVE_MS) {
      this.listener.connectionsSuspected();
    }
  }

  private dropConnection(connection: BackendProbe): void {
    connection.close();
    if (this.connection === connection) {
      this.connection = undefined;
      this.probeFailedMs = this.timer.now();
      this.listener.probeFailed();
      this.startAttempt();
    }
  }
}
