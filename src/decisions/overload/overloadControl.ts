import type { RandomSource } from '../../common/random.js';
import { CostEstimate } from '../queue/costEstimate.js';
import { getLatestStart } from '../queue/latestStart.js';
import { DEFAULT_QUEUE_LIMITS } from '../queue/queueLimits.js';
import { AccountWaits, type ObservedAccount } from './accountWaits.js';
import type { FigureRejection } from './figureRejection.js';
import { LoadFigures, type LoadFigure, type LoadSender, type ReportTimes } from './loadFigures.js';
import { getRetryDelayMs } from './retryDelay.js';
import { Trials } from './trials.js';

/** Result of the decision about a request. */
export enum Admission {
  Admit = 'admit',
  /** Admitted although the figures speak against it, to find out whether they still hold. */
  Trial = 'trial',
  Refuse = 'refuse',
}

/** A request that is new, or that would be sent again. */
export interface OfferedRequest extends ObservedAccount {
  readonly costClass: string;
  readonly deadlineMs: number;
  /** Whether it belongs to an open transaction, whose statements are never refused here. */
  readonly inTransaction: boolean;
  /** The holder or the readers that may run it. */
  readonly senders: readonly LoadSender[];
}

/** The decision with the inputs that led to it. */
export type OverloadDecision =
  | { readonly admission: Admission.Admit | Admission.Trial }
  | {
      readonly admission: Admission.Refuse;
      readonly retryAfterMs: number;
      readonly figure: LoadFigure;
      /** Time until the latest start that leaves room to finish by the deadline. */
      readonly leftMs: number;
    };

/** What the answer to a request tells about its sender. */
export interface ObservedAnswer {
  readonly times: ReportTimes;
  readonly waitMs: number;
  readonly serviceMs: number;
  /**
   * Time by which the wait was too long, if the sender's queue refused the request for that reason.
   */
  readonly excessMs: number | undefined;
  /** Whether the backend server answered. */
  readonly wasServed: boolean;
  /** The load report, if the answer has one, as received. */
  readonly load: unknown;
}

const ADMITTED: OverloadDecision = { admission: Admission.Admit };
const TRIAL: OverloadDecision = { admission: Admission.Trial };

/**
 * Decides at an entry host whether a request can still be served in time. It addresses demand beyond
 * the capacity of a group: what would be refused later is refused before it costs anything.
 */
export class OverloadControl {
  private readonly figures = new LoadFigures();
  private readonly accounts = new AccountWaits();
  private readonly trials = new Trials();
  private readonly costs = new CostEstimate(DEFAULT_QUEUE_LIMITS.initialCostMs);

  constructor(private readonly random: RandomSource) {}

  /** Whether anything is known of an account's requests; all of them are admitted otherwise. */
  isObserved(account: ObservedAccount): boolean {
    return this.accounts.has(account);
  }

  /** Decides whether to send a request; `nowMs` counts suspensions of the host. */
  decide(request: OfferedRequest, nowMs: number): OverloadDecision {
    const figure = request.inTransaction ? undefined : this.findLongest(request, nowMs);
    if (figure === undefined || figure.waitMs === 0) {
      return ADMITTED;
    }
    const requestClass = getRequestClass(request);
    const leftMs = this.getLatestStart(request, nowMs) - nowMs;
    const excessMs = figure.waitMs - leftMs;
    if (excessMs <= 0) {
      this.trials.recordAdmission(requestClass, nowMs);
      return ADMITTED;
    }
    if (this.trials.tryTake(requestClass, nowMs)) {
      return TRIAL;
    }
    const { priority } = request;
    const backlog = { waitMs: figure.reportedMs, excessMs, priority };
    const retryAfterMs = getRetryDelayMs(backlog, this.random);
    return { admission: Admission.Refuse, retryAfterMs, figure, leftMs };
  }

  /** Records an answer; returns why its load report is ignored, if it has one that is. */
  recordAnswer(
    request: OfferedRequest,
    sender: LoadSender,
    answer: ObservedAnswer,
    leaseInForce: LoadSender['lease'] | undefined,
  ): FigureRejection | undefined {
    const { nowMs } = answer.times;
    if (answer.wasServed) {
      this.costs.record(getCostKey(request), answer.serviceMs);
    }
    if (answer.excessMs !== undefined) {
      const { sentMs } = answer.times;
      const waitMs = this.getLatestStart(request, sentMs) - sentMs + answer.excessMs;
      this.accounts.recordRefusal(request, sender, waitMs, nowMs);
    }
    if (answer.load === undefined) {
      return undefined;
    }
    const rejection = this.figures.record(sender, answer.load, answer.times, leaseInForce);
    const figure = this.getFigure(request, sender, nowMs);
    if (rejection === undefined && figure !== undefined && answer.wasServed) {
      this.accounts.recordWait(request, answer.waitMs, figure.reportedMs, nowMs);
    }
    return rejection;
  }

  /** Returns a delay that spreads the return of a request that a queue refused. */
  spreadRetry(request: OfferedRequest, hintMs: number, nowMs: number): number {
    const { priority } = request;
    const waitMs = Math.max(hintMs, this.findShortest(request, nowMs)?.reportedMs ?? 0);
    return getRetryDelayMs({ waitMs, excessMs: hintMs, priority }, this.random);
  }

  /** Drops figures that are no longer valid. */
  sweep(nowMs: number): void {
    this.figures.sweep(nowMs);
  }

  private getLatestStart(request: OfferedRequest, nowMs: number): number {
    const estimateMs = this.costs.get(getCostKey(request));
    const latestMs = getLatestStart(request.deadlineMs, estimateMs, nowMs);
    return Math.min(latestMs, nowMs + DEFAULT_QUEUE_LIMITS.maximumWaitMs);
  }

  /** Returns the figure that applies to the request's account; undefined if none does. */
  private findLongest(request: OfferedRequest, nowMs: number): LoadFigure | undefined {
    const refused = this.accounts.getRefused(request, request.senders, nowMs);
    const shared = this.accounts.isBehind(request, nowMs)
      ? this.findShortest(request, nowMs)
      : undefined;
    return refused !== undefined && !(shared !== undefined && shared.waitMs > refused.waitMs)
      ? refused
      : shared;
  }

  /** Returns the figure of the sender with the shortest wait; undefined if one is unknown. */
  private findShortest(request: OfferedRequest, nowMs: number): LoadFigure | undefined {
    let shortest: LoadFigure | undefined;
    for (const sender of request.senders) {
      const figure = this.getFigure(request, sender, nowMs);
      if (figure === undefined) {
        return undefined;
      }
      shortest = shortest === undefined || figure.waitMs < shortest.waitMs ? figure : shortest;
    }
    return shortest;
  }

  private getFigure(
    { kind, priority }: OfferedRequest,
    sender: LoadSender,
    nowMs: number,
  ): LoadFigure | undefined {
    return this.figures.get(sender, kind, priority, nowMs);
  }
}

function getCostKey({ group, costClass }: OfferedRequest): string {
  return `${group}/${costClass}`;
}

function getRequestClass({ group, kind, priority }: OfferedRequest): string {
  return `${group}/${kind}/${priority ?? ''}`;
}
