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
/** Such a probe takes a slot of an instance that has few. */
const FULL_PROBE_INTERVAL_MS = 1000;
const CONNECT_TIMEOUT_MS = 250;
/** Two attempts overlap, so that a lost packet is told from a lost instance without waiting twice. */
const ATTEMPT_SPACING_MS = 50;
/** An instance that answers a new connection within this time is not merely slow. */
const RESPONSIVE_MS = 100;

/** What a monitor tells its owner. */
export interface MonitorListener {
  /** The instance answered; `sentMs` is when it was asked. */
  probeAnswered(answer: ProbeAnswer, sentMs: number): void;
  /** The monitor's connection was lost or gave no answer. */
  probeFailed(): void;
  /**
   * A new connection was answered at once after an older one gave no answer: others that were
   * opened before may be dead as well.
   */
  connectionsSuspected(): void;
  /** New connections fail: the instance is unreachable. */
  instanceUnreachable(): void;
}

/** Watches one instance over a connection of its own. */
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

  /** Begins to watch. */
  start(): void {
    this.startAttempt();
  }

  /** Says which probe fits the instance's role. */
  setExpectsPrimary(expectsPrimary: boolean): void {
    this.expectsPrimary = expectsPrimary;
  }

  /** Has each probe ask for all that the instance can tell, or no longer. */
  setFullProbes(isFull: boolean): void {
    if (isFull && !this.sendsFullProbes) {
      this.scheduleProbe(0);
    }
    this.sendsFullProbes = isFull;
  }

  /** Asks again as soon as possible while somebody waits for a position. */
  setUrgent(urgent: boolean): void {
    if (urgent === this.urgent) {
      return;
    }
    this.urgent = urgent;
    if (urgent) {
      this.scheduleProbe(URGENT_PROBE_INTERVAL_MS);
    }
  }

  /** Checks at once whether the instance still answers. */
  check(): void {
    this.scheduleProbe(0);
  }

  /** Ends the watch. */
  stop(): void {
    this.stopped = true;
    this.scheduled?.();
    this.connection?.close();
    this.connection = undefined;
    for (const attempt of this.attempts) {
      attempt.close();
    }
  }

  /** Tries a new connection, and another one soon after as long as none has succeeded. */
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

  /** An instance whose connections are all taken lives: those of a lost holder end by themselves. */
  private attemptRefused(attempt: BackendProbe): void {
    this.attempts.delete(attempt);
    this.health.connectRefused();
  }

  private attemptFailed(attempt: BackendProbe): void {
    this.attempts.delete(attempt);
    if (this.stopped || this.connection !== undefined) {
      return;
    }
    const wasUnreachable = this.health.isUnreachable;
    this.health.connectFailed();
    if (this.health.isUnreachable && !wasUnreachable) {
      this.listener.instanceUnreachable();
    }
  }

  private async probe(connection: BackendProbe): Promise<void> {
    this.probing = connection;
    const sentMs = this.timer.now();
    try {
      const answer = await connection.ask(
        this.getDepth(sentMs),
        this.expectsPrimary,
        PROBE_TIMEOUT_MS,
      );
      if (this.connection === connection) {
        this.health.probeAnswered(this.timer.now());
        this.listener.probeAnswered(answer, sentMs);
        this.reportSuspicion();
      }
    } catch {
      this.dropConnection(connection);
    }
    if (this.probing === connection) {
      this.probing = undefined;
    }
    this.scheduleProbe(this.urgent ? URGENT_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS);
  }

  /** All that can be told is asked now and then, and each time while somebody needs it. */
  private getDepth(nowMs: number): ProbeDepth {
    if (!this.sendsFullProbes && nowMs - this.lastFullProbeMs < FULL_PROBE_INTERVAL_MS) {
      return ProbeDepth.Position;
    }
    this.lastFullProbeMs = nowMs;
    return ProbeDepth.Standing;
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

  private reportSuspicion(): void {
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
