import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import type { GroupId, LeaseId } from '../../common/ids/index.js';
import type { OverloadMetrics } from '../../common/metrics/index.js';
import type { RandomSource } from '../../common/random.js';
import type { TimerService } from '../../common/timer/index.js';
import type { DaemonRecords } from '../../decisions/control/index.js';
import {
  Admission,
  getRetryBackoffMs,
  LoadKind,
  OverloadControl,
  type LoadSender,
  type ObservedAccount,
  type OfferedRequest,
  type OverloadDecision,
} from '../../decisions/overload/index.js';
import { RetryBudget } from '../../decisions/routing/index.js';
import {
  isBusyRefusal,
  RequestKind,
  type ExecuteRequest,
  type RequestOutcome,
  type ResponseReceiver,
} from '../requests/index.js';
import type { RequestDraft } from './dispatcher.js';
import { ObservedAttempt } from './observedAttempt.js';

const SWEEP_INTERVAL_MS = 5000;
/** Share of first attempts that may be tried again promptly, and the reserve, for each group. */
const RETRY_SHARE = 0.2;
const MAXIMUM_RETRIES = 50;
/**
 * Of so many answers that tell nothing about load, one is recorded for the estimate of service times,
 * which needs no more than a sample.
 */
const ANSWERS_PER_SAMPLE = 8;

/** Why a request was refused, in metrics. */
enum RefusalReason {
  /** A new request could not be served in time. */
  New = 'new',
  /** A request that had not run could not be served in time any more. */
  Repeated = 'repeated',
  /** The queue of a holder or reader refused the request. */
  Queue = 'queue',
}

/** Overload control of an entry host: keeps load figures and refuses what cannot run in time. */
export class EntryOverload {
  private readonly control: OverloadControl;
  private readonly budgets = new Map<GroupId, RetryBudget>();
  private unsampledAnswers = 0;

  constructor(
    private readonly timer: TimerService,
    private readonly records: DaemonRecords,
    private readonly metrics: OverloadMetrics,
    private readonly random: RandomSource,
  ) {
    this.control = new OverloadControl(random);
    timer.subscribe(SWEEP_INTERVAL_MS, () => this.control.sweep(this.now()));
  }

  /**
   * Decides whether a request is sent to one of the senders; returns the refusal if it is not.
   * `attempts` is the number of attempts that did not run it. The senders are only determined where
   * the account's earlier requests speak against the request, since that costs as much as the rest.
   */
  check(
    draft: RequestDraft,
    deadlineMs: number,
    getSenders: () => readonly LoadSender[],
    attempts: number,
  ): Fault | undefined {
    const { priority } = draft;
    if (draft.transaction !== undefined) {
      return undefined;
    }
    const isObserved = this.control.isObserved(toObservedAccount(draft));
    const decision: OverloadDecision = isObserved
      ? this.control.decide(this.createOffered(draft, deadlineMs, getSenders()), this.now())
      : { admission: Admission.Admit };
    switch (decision.admission) {
      case Admission.Admit:
        if (attempts === 0) {
          this.metrics.recordAdmitted(priority);
        }
        return undefined;
      case Admission.Trial:
        this.metrics.recordTrial(priority);
        return undefined;
      case Admission.Refuse: {
        const reason = attempts === 0 ? RefusalReason.New : RefusalReason.Repeated;
        this.metrics.recordRefused(reason, priority);
        const { retryAfterMs, figure, leftMs } = decision;
        return createFault(
          Diagnostics.Overloaded,
          {
            group: draft.group,
            wait: Math.round(figure.waitMs),
            age: Math.round(figure.ageMs),
            left: Math.round(leftMs),
          },
          { step: 'entry.overload', execution: Execution.NotRun, retryAfterMs },
        );
      }
    }
  }

  /** Returns a receiver that keeps the load report in the answer to an attempt. */
  observe(request: ExecuteRequest, receiver: ResponseReceiver): ResponseReceiver {
    const sentMs = this.now();
    return new ObservedAttempt(receiver, (outcome) => this.recordAnswer(request, outcome, sentMs));
  }

  /** Spreads the retry delay of a request that the queue of a holder or reader refused as busy. */
  spreadRetry(
    draft: RequestDraft,
    deadlineMs: number,
    getSenders: () => readonly LoadSender[],
    outcome: RequestOutcome,
  ): RequestOutcome {
    const { fault } = outcome;
    if (fault === undefined || !isBusyRefusal(fault)) {
      return outcome;
    }
    this.metrics.recordRefused(RefusalReason.Queue, draft.priority);
    const offered = this.createOffered(draft, deadlineMs, getSenders());
    const hintMs = fault.retryAfterMs ?? 0;
    const retryAfterMs = this.control.spreadRetry(offered, hintMs, this.now());
    return { ...outcome, fault: { ...fault, retryAfterMs } };
  }

  /** Counts the first attempt of a request, which adds to the budget of retries. */
  recordFirstAttempt(group: GroupId): void {
    this.getBudget(group).recordAttempt();
  }

  /** Returns the wait in milliseconds before a request is sent again. */
  getRetryDelayMs(group: GroupId, firstMs: number, attempts: number): number {
    const hasBudget = this.getBudget(group).tryTakeRetry();
    if (!hasBudget) {
      this.metrics.recordDelayedRetry();
    }
    return getRetryBackoffMs(firstMs, attempts, hasBudget, this.random);
  }

  private recordAnswer(request: ExecuteRequest, outcome: RequestOutcome, sentMs: number): void {
    const { waitMs, serviceMs, fault, load } = outcome;
    const isRefusal = fault !== undefined && isBusyRefusal(fault);
    if (load === undefined && !isRefusal && !this.isSampled()) {
      return;
    }
    const { group, instance, lease } = request;
    const sender: LoadSender = { group, instance, lease };
    const nowMs = this.now();
    const { suspendedMs } = this.timer;
    const rejection = this.control.recordAnswer(
      this.createOffered(request, sentMs - suspendedMs + request.remainingMs, [sender]),
      sender,
      {
        times: { sentMs, nowMs, atSenderMs: waitMs + serviceMs },
        ...{ waitMs, serviceMs, load },
        excessMs: isRefusal ? fault.retryAfterMs : undefined,
        wasServed: fault === undefined,
      },
      this.getLeaseInForce(sender),
    );
    if (rejection !== undefined) {
      this.metrics.recordIgnoredFigure(rejection);
    }
  }

  private isSampled(): boolean {
    this.unsampledAnswers += 1;
    if (this.unsampledAnswers < ANSWERS_PER_SAMPLE) {
      return false;
    }
    this.unsampledAnswers = 0;
    return true;
  }

  private getLeaseInForce({ group, instance }: LoadSender): LeaseId | undefined {
    return instance === undefined
      ? this.records.getGroupAssignment(group)?.holder?.lease
      : this.records.getReader(group, instance)?.holder?.lease;
  }

  private createOffered(
    draft: Omit<RequestDraft, 'instance'>,
    deadlineMs: number,
    senders: readonly LoadSender[],
  ): OfferedRequest {
    const { group, account, priority, costClass, transaction } = draft;
    return {
      group,
      account,
      priority,
      kind: getLoadKind(draft),
      costClass,
      inTransaction: transaction !== undefined,
      senders,
      deadlineMs: deadlineMs + this.timer.suspendedMs,
    };
  }

  private getBudget(group: GroupId): RetryBudget {
    let budget = this.budgets.get(group);
    if (budget === undefined) {
      budget = new RetryBudget(RETRY_SHARE, MAXIMUM_RETRIES);
      this.budgets.set(group, budget);
    }
    return budget;
  }

  /** Time that goes on while the host is suspended, so that figures age meanwhile. */
  private now(): number {
    return this.timer.now() + this.timer.suspendedMs;
  }
}

function toObservedAccount(draft: Omit<RequestDraft, 'instance'>): ObservedAccount {
  const { group, account, priority } = draft;
  return { group, account, priority, kind: getLoadKind(draft) };
}

function getLoadKind({ kind, readOnly }: Pick<RequestDraft, 'kind' | 'readOnly'>): LoadKind {
  return kind === RequestKind.Read || readOnly === true ? LoadKind.Reads : LoadKind.Primary;
}
