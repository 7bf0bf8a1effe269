import type { AccountId, WindowNumber } from '../../common/ids/index.js';
import type { TimerService } from '../../common/timer/index.js';
import {
  FleetClock,
  getWindow,
  HostUsage,
  parseUsageGrant,
  type UsageSection,
  type UsageTerms,
} from '../../decisions/usage/index.js';
import { StatementCounter } from '../holder/index.js';

/** Sections whose answers may still give the fleet time. */
const MAXIMUM_SENT = 16;

interface SentSection {
  readonly sentMs: number;
  readonly suspensions: number;
}

/** Counts the requests that this host runs, for the usage parts of its lease renewals. */
export class UsageRecorder extends StatementCounter {
  private readonly usage = new HostUsage();
  private readonly clock = new FleetClock();
  private readonly sent = new Map<number, SentSection>();
  private suspensions: number;

  constructor(
    private readonly terms: UsageTerms,
    private readonly timer: TimerService,
  ) {
    super();
    this.suspensions = timer.suspensions;
  }

  /** Number of requests that no report contains, since they were counted too late. */
  get dropped(): number {
    return this.usage.dropped;
  }

  /** Whether the control leader has all counts. */
  get isDelivered(): boolean {
    return this.usage.isDelivered;
  }

  /** Sends all counts with the next renewals, since the host stops. */
  finish(): void {
    this.usage.finish();
  }

  override begin(account: AccountId): WindowNumber {
    // Until the first grant gives the fleet time, the wall clock is the best estimate of it.
    const fleetMs = this.clock.getTimeMs(this.timer.now()) ?? this.timer.wallNow();
    const window = getWindow(fleetMs, this.terms);
    this.usage.add(account, window);
    return window;
  }

  override cancel(account: AccountId, window: WindowNumber): void {
    this.usage.remove(account, window);
  }

  /** Creates the usage part of a renewal that is about to be sent; undefined if it has none. */
  createSection(): UsageSection | undefined {
    this.observeSuspensions();
    const nowMs = this.timer.now();
    const fleetMs = this.clock.getTimeMs(nowMs);
    const window = fleetMs === undefined ? {} : { window: getWindow(fleetMs, this.terms) };
    const section = this.usage.createSection({ nowMs, wallMs: this.timer.wallNow(), ...window });
    if (section !== undefined) {
      this.sent.set(section.number, { sentMs: nowMs, suspensions: this.suspensions });
      const [oldest] = this.sent.keys();
      if (this.sent.size > MAXIMUM_SENT && oldest !== undefined) {
        this.sent.delete(oldest);
      }
    }
    return section;
  }

  /**
   * Processes the usage part of a grant, which comes from a peer; returns whether to renew at once.
   */
  receive(value: unknown): boolean {
    const grant = parseUsageGrant(value);
    if (grant === undefined) {
      return false;
    }
    this.observeSuspensions();
    const sent = this.sent.get(grant.number);
    this.sent.delete(grant.number);
    const { fleetMs } = grant;
    if (sent?.suspensions === this.suspensions && fleetMs !== undefined) {
      const { sentMs } = sent;
      this.clock.observe({ sentMs, receivedMs: this.timer.now(), fleetMs });
    }
    return this.usage.receive(grant);
  }

  /** The monotonic clock does not advance during a suspension: its offset is wrong after one. */
  private observeSuspensions(): void {
    const { suspensions } = this.timer;
    if (suspensions !== this.suspensions) {
      this.suspensions = suspensions;
      this.clock.invalidate();
    }
  }
}
