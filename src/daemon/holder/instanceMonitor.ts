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
const SURVEY_INTERVAL_MS = 1000;
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
  connectionCondemned(): void;
  /**
   * A new connection was answered at once after an older one gave no answer: others that were
   * opened before may be dead as well.
   */
  connectionsSuspected(): void;
  /** New connections fail: the instance is unreachable. */
  instanceLost(): void;
}

/** Watches one instance over a connection of its own. */
export class InstanceMonitor {
  readonly health = new InstanceHealth();
  private connection: BackendProbe | undefined;
  private readonly attempts = new Set<BackendProbe>();
  private scheduled: Unsubscribe | undefined;
  private asking: BackendProbe | undefined;
  private urgent = false;
  private surveying = false;
  private surveyedMs = -SURVEY_INTERVAL_MS;
  private stopped = false;
  private condemnedMs: number | undefined;

  constructor(
    private readonly target: BackendTarget,
    private readonly protocol: BackendProtocol,
    private readonly timer: TimerService,
    private readonly listener: MonitorListener,
    private expectsPrimary: boolean,
  ) {}

  /** Begins to watch. */
  start(): void {
    this.attempt();
  }

  /** Says which probe fits the instance's role. */
  setExpectsPrimary(expectsPrimary: boolean): void {
    this.expectsPrimary = expectsPrimary;
  }

  /** Has each probe ask for all that the instance can tell, or no longer. */
  setSurveying(surveying: boolean): void {
    if (surveying && !this.surveying) {
      this.askAfter(0);
    }
    this.surveying = surveying;
  }

  /** Asks again as soon as possible while somebody waits for a position. */
  setUrgent(urgent: boolean): void {
    if (urgent === this.urgent) {
      return;
    }
    this.urgent = urgent;
    if (urgent) {
      this.askAfter(URGENT_PROBE_INTERVAL_MS);
    }
  }

  /** Checks at once whether the instance still answers. */
  check(): void {
    this.askAfter(0);
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
  private attempt(): void {
    if (this.stopped || this.connection !== undefined) {
      return;
    }
    const attempt = this.protocol.createProbe(this.target, this.timer);
    this.attempts.add(attempt);
    attempt.open(CONNECT_TIMEOUT_MS).then(
      (hasRoom) => (hasRoom ? this.opened(attempt) : this.hadNoRoom(attempt)),
      () => this.attemptFailed(attempt),
    );
    this.timer.once(ATTEMPT_SPACING_MS, () => this.attempt());
  }

  private opened(attempt: BackendProbe): void {
    this.attempts.delete(attempt);
    if (this.stopped || this.connection !== undefined) {
      attempt.close();
      return;
    }
    this.connection = attempt;
    void this.ask(attempt);
  }

  /** An instance whose connections are all taken lives: those of a lost holder end by themselves. */
  private hadNoRoom(attempt: BackendProbe): void {
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
      this.listener.instanceLost();
    }
  }

  private async ask(connection: BackendProbe): Promise<void> {
    this.asking = connection;
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
      this.condemn(connection);
    }
    if (this.asking === connection) {
      this.asking = undefined;
    }
    this.askAfter(this.urgent ? URGENT_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS);
  }

  /** All that can be told is asked now and then, and each time while somebody needs it. */
  private getDepth(nowMs: number): ProbeDepth {
    if (!this.surveying && nowMs - this.surveyedMs < SURVEY_INTERVAL_MS) {
      return ProbeDepth.Position;
    }
    this.surveyedMs = nowMs;
    return ProbeDepth.Standing;
  }

  private askAfter(delayMs: number): void {
    const { connection } = this;
    if (connection === undefined || this.asking === connection) {
      return;
    }
    this.scheduled?.();
    this.scheduled = this.timer.once(delayMs, () => {
      if (this.connection === connection && this.asking !== connection) {
        void this.ask(connection);
      }
    });
  }

  private reportSuspicion(): void {
    const { condemnedMs } = this;
    this.condemnedMs = undefined;
    if (condemnedMs !== undefined && this.timer.now() - condemnedMs < RESPONSIVE_MS) {
      this.listener.connectionsSuspected();
    }
  }

  private condemn(connection: BackendProbe): void {
    connection.close();
    if (this.connection === connection) {
      this.connection = undefined;
      this.condemnedMs = this.timer.now();
      this.listener.connectionCondemned();
      this.attempt();
    }
  }
}
