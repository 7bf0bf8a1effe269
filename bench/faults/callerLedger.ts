import type { LineReply } from '../../platform/lines/lineReply.js';
import type { TimerService, Unsubscribe } from '../../src/common/timer/index.js';
import { TransactionStatus } from '../../src/daemon/requests/index.js';
import type { HarmLog } from './harmLog.js';

/** A request that reached a daemon while its connection ended may go without an answer for this long. */
const LOSS_SLACK_MS = 250;
/** Time that open transactions have after a SIGTERM. */
const TRANSACTION_GRACE_MS = 3000;

/** How often it is noted that what has arrived was looked at. */
const LOOK_MS = 10;
/** A process is gone this long after its SIGTERM. */
const STOP_LIMIT_MS = 7000;

/** A statement that a caller sent. */
export interface SoakRequest {
  readonly id: string;
  readonly text: string;
  readonly node: string;
  readonly account: string;
  /** The item of the caller. */
  readonly item: string;
  readonly sentMs: number;
}

/** A connection that ended while a request or a transaction was open. */
export interface CutSession {
  readonly request: SoakRequest | undefined;
  readonly node: string;
  readonly name: string;
  readonly status: TransactionStatus;
  readonly endMs: number;
  /** The connection had not ended yet at this time. */
  readonly openUntilMs: number;
  /** The caller got no answer in time and broke off itself. */
  readonly isOwn: boolean;
}

/** What all callers sent and got, judged from their side. */
export class CallerLedger {
  readonly requests = new Map<string, SoakRequest>();
  /** Outcomes by error code, `ok` and `cut`. */
  readonly outcomes = new Map<string, number>();
  readonly violations: string[] = [];
  private readonly cuts: CutSession[] = [];
  private lastLookMs = -Infinity;
  private openUntilMs = -Infinity;
  private readonly stopLooks: Unsubscribe;

  constructor(
    private readonly harms: HarmLog,
    private readonly timer: TimerService,
  ) {
    this.stopLooks = timer.subscribe(LOOK_MS, (nowMs) => {
      // Between two of these all sockets were looked at, also where this process had no processor.
      this.openUntilMs = this.lastLookMs;
      this.lastLookMs = nowMs;
    });
  }

  /** Ends the periodic looks, which keep the process running. */
  stop(): void {
    this.stopLooks();
  }

  asked(request: SoakRequest): void {
    this.requests.set(request.id, request);
  }

  answered(_: SoakRequest, { error = 'ok' }: LineReply): void {
    this.outcomes.set(error, (this.outcomes.get(error) ?? 0) + 1);
  }

  cut(session: Omit<CutSession, 'openUntilMs'>): void {
    this.outcomes.set('cut', (this.outcomes.get('cut') ?? 0) + 1);
    this.cuts.push({ ...session, openUntilMs: this.openUntilMs });
  }

  fail(violation: string): void {
    this.violations.push(`${(this.timer.now() / 1000).toFixed(3)} s: ${violation}`);
  }

  /**
   * Says which cut requests and transactions a planned stop or change may not cut; `wasPassedOn`: whether an
   * instance got a statement.
   */
  judgeCuts(wasPassedOn: (id: string) => boolean): readonly string[] {
    return this.cuts.flatMap((cut) => {
      const { request, node, name, status, endMs } = cut;
      const stopped = this.harms.getStop(node, endMs);
      const sinceMs = endMs - (stopped?.atMs ?? -Infinity);
      const stop =
        stopped === undefined ? 'never stopped' : `${sinceMs.toFixed(0)} ms after SIGTERM`;
      if (request === undefined) {
        const isLost = sinceMs < TRANSACTION_GRACE_MS || sinceMs > STOP_LIMIT_MS;
        return isLost && this.harms.isUnharmed(endMs, endMs)
          ? [`${name} on ${node}: transaction (${status}) cut, ${stop}`]
          : [];
      }
      const text = `${request.id} "${request.text}" on ${node}: cut after`;
      const waitedMs = endMs - request.sentMs;
      return this.isLost(cut, request, wasPassedOn(request.id))
        ? [`${text} ${waitedMs.toFixed(0)} ms, ${stop}`]
        : [];
    });
  }

  private isLost(
    { node, endMs, openUntilMs, isOwn }: CutSession,
    { sentMs }: SoakRequest,
    wasPassedOn: boolean,
  ): boolean {
    if (wasPassedOn && !isOwn) {
      return this.harms.isUnharmed(sentMs, endMs);
    }
    const stopped = this.harms.getStop(node, endMs);
    const isOrderly = stopped?.isOrderly === true && endMs - stopped.atMs < STOP_LIMIT_MS;
    // A process that stops in order answers or refuses all that reached it, however slow it is.
    return isOrderly && !isOwn
      ? openUntilMs - sentMs > LOSS_SLACK_MS && this.harms.isUnharmed(sentMs, endMs)
      : endMs - sentMs > LOSS_SLACK_MS && this.harms.isCalm(sentMs, endMs);
  }
}
