import { Diagnostics } from '../../common/diagnostics/index.js';
import type { RequestId } from '../../common/ids/index.js';
import type { Unsubscribe } from '../../common/timer/index.js';
import type { InstanceRecord } from '../../decisions/control/index.js';
import type { InstanceQueue } from '../../decisions/queue/index.js';
import { DEFAULT_WARMUP_LIMITS, StartPacer } from '../../decisions/warmup/index.js';
import type { HolderContext } from './holderContext.js';

/**
 * Time for which an instance counts as cold after it was unreachable or its failure domain out of
 * service. It covers the time until the record says whether the instance has restarted.
 */
const UNCERTAIN_MS = 1000;
const MINIMUM_WAKE_MS = 1;

/** Paces the requests of one host to an instance for as long as the instance is cold. */
export class InstanceWarmup {
  readonly pacer: StartPacer;
  private recordedMs: number | undefined;
  private recordedUntilMs = Number.NEGATIVE_INFINITY;
  private uncertainUntilMs = Number.NEGATIVE_INFINITY;
  private wasInService = true;
  private wasCold = false;
  private scheduled: Unsubscribe | undefined;
  private dueMs = Number.POSITIVE_INFINITY;

  constructor(
    private readonly record: InstanceRecord,
    private readonly context: HolderContext,
  ) {
    this.pacer = new StartPacer(context.warmup ?? DEFAULT_WARMUP_LIMITS);
  }

  /** Applies changed control records. */
  recordsChanged(): void {
    const { records, timer } = this.context;
    const { group, instance, domain, startedMs } = this.record;
    const current = records.getInstance(group, instance);
    const warmupMs = current?.startedMs === startedMs ? current?.warmupMs : undefined;
    if (warmupMs !== this.recordedMs) {
      this.recordedMs = warmupMs;
      this.recordedUntilMs = timer.now() + (warmupMs ?? 0);
    }
    const isInService = records.isInService(domain);
    if (isInService && !this.wasInService) {
      this.uncertainUntilMs = timer.now() + UNCERTAIN_MS;
    }
    this.wasInService = isInService;
    this.update();
  }

  /** Handles that the instance is unreachable: it may be cold when it returns. */
  handleUnreachable(): void {
    this.uncertainUntilMs = Number.POSITIVE_INFINITY;
    this.update();
  }

  /** Handles that the instance answers. */
  handleReachable(): void {
    if (this.uncertainUntilMs === Number.POSITIVE_INFINITY) {
      this.uncertainUntilMs = this.context.timer.now() + UNCERTAIN_MS;
      this.update();
    }
  }

  /** Time until one more request may start behind `ahead` others; undefined while warm. */
  getColdWaitMs(ahead: number, nowMs: number): number | undefined {
    return this.pacer.isCold(nowMs) ? this.pacer.getWaitMs(ahead, nowMs) : undefined;
  }

  /** Records that a request was sent to the instance. */
  recordSent(requestId: RequestId): void {
    const nowMs = this.context.timer.now();
    this.pacer.recordSent(requestId, nowMs);
    if (this.pacer.isCold(nowMs)) {
      this.context.metrics.recordPacedStart();
    }
  }

  /** Calls the queue's tick when the pace lets the next waiting request start. */
  schedule(queue: InstanceQueue, tick: (nowMs: number) => void): void {
    const { timer } = this.context;
    const waitMs = queue.getGateWaitMs(timer.now());
    const dueMs = timer.now() + Math.max(MINIMUM_WAKE_MS, waitMs ?? Infinity);
    if (dueMs >= this.dueMs) {
      return;
    }
    this.stop();
    this.dueMs = dueMs;
    this.scheduled = timer.once(dueMs - timer.now(), (nowMs) => {
      this.stop();
      tick(nowMs);
    });
  }

  /** Logs a change between cold and warm that came with the passing of time. */
  tick(nowMs: number): void {
    this.logChange(nowMs);
  }

  stop(): void {
    this.scheduled?.();
    this.scheduled = undefined;
    this.dueMs = Number.POSITIVE_INFINITY;
  }

  private update(): void {
    const { records, timer } = this.context;
    const rate = records.getGroup(this.record.group)?.warmupPerSecond ?? 0;
    const untilMs = Math.max(this.recordedUntilMs, this.uncertainUntilMs);
    const nowMs = timer.now();
    this.pacer.setCold(rate, untilMs, nowMs);
    this.logChange(nowMs);
  }

  private logChange(nowMs: number): void {
    const isCold = this.pacer.isCold(nowMs);
    if (isCold === this.wasCold) {
      return;
    }
    this.wasCold = isCold;
    const { group, instance } = this.record;
    const context = { step: 'holder.warmup', peer: this.record.address };
    const { logger, records } = this.context;
    if (isCold) {
      const rate = records.getGroup(group)?.warmupPerSecond ?? 0;
      logger.report(Diagnostics.InstanceCold, { instance, group, rate }, context);
    } else {
      logger.report(Diagnostics.InstanceWarm, { instance, group }, context);
    }
  }
}
