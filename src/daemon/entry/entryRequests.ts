import type { RequestLog } from '../../common/logging/index.js';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import type { GroupId, RequestId } from '../../common/ids/index.js';
import { ReadSource, RequestClass, type Metrics } from '../../common/metrics/index.js';
import type { TimerService, Unsubscribe } from '../../common/timer/index.js';
import type { DaemonRecords } from '../../decisions/control/index.js';
import { OPEN_ACCOUNT } from '../../decisions/tickets/index.js';
import type { GroupHolder, HolderLease } from '../holder/index.js';
import { MeshKind, type Mesh } from '../mesh/index.js';
import type { RateTask } from '../rates/index.js';
import {
  createRefusedOutcome,
  RequestKind,
  ResponseReceiver,
  RunningRequest,
  toFault,
  TransactionStatus,
  type RequestIds,
  type RequestOutcome,
} from '../requests/index.js';
import { CallerRequests } from './callerRequests.js';
import type { DispatchHandle } from './dispatchedRequest.js';
import type { Dispatcher, RequestDraft } from './dispatcher.js';
import type { ReaderRequests } from './readerRequests.js';
import { LeaseWait } from './leaseWait.js';

/**
 * Share of the target latency that a request may wait for tokens. After that a refusal serves the
 * caller better than a longer wait.
 */
const TOKEN_WAIT_SHARE = 0.25;
/** Retry delay of refusals for lack of a lease, in milliseconds: about the renewal interval. */
const LEASE_RETRY_MS = 250;
/** Interval for checking a sent request while there is no lease, in milliseconds. */
const SENT_CHECK_INTERVAL_MS = 50;

const REQUEST_CLASSES: Readonly<Record<RequestKind, RequestClass>> = {
  [RequestKind.Read]: RequestClass.Read,
  [RequestKind.Write]: RequestClass.Write,
  [RequestKind.Begin]: RequestClass.Transaction,
  [RequestKind.Inside]: RequestClass.Transaction,
  [RequestKind.End]: RequestClass.Transaction,
};

/** Dependencies of callers' requests. */
export interface EntryContext {
  readonly ids: RequestIds;
  readonly timer: TimerService;
  readonly records: DaemonRecords;
  readonly lease: HolderLease;
  readonly rates: RateTask;
  readonly dispatcher: Dispatcher;
  readonly readers: ReaderRequests;
  readonly holder: GroupHolder;
  readonly mesh: Mesh;
  readonly metrics: Metrics;
  readonly log: RequestLog;
}

/** Admits callers' requests under the rate limits of their accounts and dispatches them. */
export class EntryRequests extends CallerRequests {
  private readonly leaseWait: LeaseWait;
  private readonly admitted = new Set<AdmittedRequest>();

  constructor(private readonly context: EntryContext) {
    super();
    this.leaseWait = new LeaseWait(context.timer, context.lease);
  }

  /** Handles a new or expired lease; without one, waiting requests are soon refused as not run. */
  leaseChanged(): void {
    this.leaseWait.updateLossTime();
    for (const admitted of [...this.admitted]) {
      admitted.checkLease();
    }
  }

  override run(
    draft: RequestDraft,
    statements: number,
    deadlineMs: number,
    receiver: ResponseReceiver,
  ): RunningRequest {
    const { context, leaseWait } = this;
    const admitted = new AdmittedRequest(draft, deadlineMs, receiver, context, leaseWait, () =>
      this.admitted.delete(admitted),
    );
    this.admitted.add(admitted);
    admitted.start(statements);
    return admitted.handle;
  }

  override abortTransaction(group: GroupId, transaction: string): void {
    if (this.context.readers.abortTransaction(group, transaction)) {
      return;
    }
    const holder = this.context.records.getGroupAssignment(group)?.holder;
    if (holder === undefined) {
      return;
    }
    if (holder.lease === this.context.lease.id) {
      this.context.holder.abortTransaction(group, transaction);
    } else {
      const kind = MeshKind.AbortTransaction;
      this.context.mesh.send(holder.address, { kind, group, transaction });
    }
  }
}

/** A request from its admission to its end. */
class AdmittedRequest extends ResponseReceiver {
  readonly handle: RunningRequest;
  private readonly id: RequestId;
  private readonly arrivedMs: number;
  private admittedMs: number | undefined;
  private running: DispatchHandle | undefined;
  private ended = false;
  private cancelLeaseTimer: Unsubscribe | undefined;

  constructor(
    private readonly draft: RequestDraft,
    private readonly deadlineMs: number,
    private readonly receiver: ResponseReceiver,
    private readonly context: EntryContext,
    private readonly leaseWait: LeaseWait,
    private readonly onEnded: () => void,
  ) {
    super();
    this.id = context.ids.next();
    this.arrivedMs = context.timer.now();
    this.handle = new AdmittedHandle(this);
  }

  /** Requests tokens; a request admitted with its transaction, or that ends one, needs none. */
  start(statements: number): void {
    this.checkLease();
    if (this.ended) {
      return;
    }
    const { draft, id, deadlineMs, context } = this;
    const overload = context.dispatcher.checkOverload(draft, deadlineMs);
    if (overload !== undefined) {
      this.refuse(overload);
      return;
    }
    const account = context.records.getAccount(draft.account);
    const cost = Math.min(Math.max(1, statements), Math.floor(account?.burst ?? 1));
    const isUnlimited = account === undefined && draft.account === OPEN_ACCOUNT;
    if (draft.kind === RequestKind.End || statements === 0 || isUnlimited) {
      this.dispatch();
      return;
    }
    const { targetMs, priority } = draft;
    const request = {
      ...{ requestId: id, account: draft.account, cost: Math.max(1, cost), deadlineMs },
      ...(targetMs === undefined ? {} : { maximumWaitMs: targetMs * TOKEN_WAIT_SHARE }),
      ...(priority === undefined ? {} : { priority }),
    };
    context.rates.admit(request, (refusal) => {
      if (refusal === undefined) {
        this.dispatch();
      } else {
        // Without a lease no account holder is queried, so the account's rate is not the reason.
        this.refuse(context.lease.isValid() ? refusal : createLeaseExpiredFault());
      }
    });
  }

  /**
   * Refuses the request once it has waited for a lease for its share of the target latency, since
   * the caller may reach another host.
   */
  checkLease(): void {
    this.cancelLeaseTimer?.();
    const remainingMs = this.leaseWait.getRemainingMs(this.draft.targetMs);
    if (this.ended || remainingMs === undefined) {
      return;
    }
    if (remainingMs > 0) {
      this.cancelLeaseTimer = this.context.timer.once(remainingMs, () => this.checkLease());
    } else {
      this.withdraw();
    }
  }

  override accept(bytes: Uint8Array): void {
    this.receiver.accept(bytes);
  }

  override finish(attempted: RequestOutcome): void {
    if (this.ended) {
      return;
    }
    const { draft, deadlineMs, context } = this;
    const outcome = context.dispatcher.spreadRetry(draft, deadlineMs, attempted);
    this.ended = true;
    this.cancelLeaseTimer?.();
    this.onEnded();
    this.recordOutcome(outcome);
    this.receiver.finish(outcome);
  }

  consume(consumed: number): void {
    this.running?.consume(consumed);
  }

  /** Calls `cancelRunning` if the request was dispatched, and refuses it as cancelled if not. */
  cancel(cancelRunning: (running: RunningRequest) => void): void {
    if (this.running === undefined) {
      this.context.rates.cancel(this.id);
      this.refuse(createCancelledFault());
    } else {
      cancelRunning(this.running);
    }
  }

  /** Refuses a request that waits for tokens or a holder; a sent one may still be answered. */
  private withdraw(): void {
    if (this.running !== undefined) {
      const fault = this.running.withdraw();
      if (fault === undefined) {
        // If its holder refuses it, the request waits for a holder again.
        this.cancelLeaseTimer = this.context.timer.once(SENT_CHECK_INTERVAL_MS, () =>
          this.checkLease(),
        );
      } else {
        this.refuse(fault);
      }
    } else {
      this.context.rates.cancel(this.id);
      this.refuse(createLeaseExpiredFault());
    }
  }

  private dispatch(): void {
    this.admittedMs = this.context.timer.now();
    this.context.metrics.getAccount(this.draft.account).recordAdmitted();
    this.running = this.context.dispatcher.dispatch(this.draft, this.deadlineMs, this);
  }

  private refuse(fault: Fault): void {
    const { transaction } = this.draft;
    const status = transaction === undefined ? TransactionStatus.Idle : TransactionStatus.Open;
    const outcome = createRefusedOutcome(fault, status);
    this.finish(transaction === undefined ? outcome : { ...outcome, transaction });
  }

  private logOutcome(outcome: RequestOutcome): void {
    const { draft, context, arrivedMs, admittedMs, deadlineMs, id } = this;
    const { records, lease, log, timer } = context;
    const reader = this.running?.reader;
    const nowMs = timer.now();
    const totalMs = nowMs - arrivedMs;
    const exceedsTarget = totalMs > (draft.targetMs ?? Infinity);
    const { fault, status, onReplica, waitMs, serviceMs } = outcome;
    const result = fault === undefined ? (exceedsTarget ? 'late' : 'ok') : `FP${fault.code}`;
    const shouldLog = fault !== undefined || exceedsTarget;
    log.record(Diagnostics.RequestEnded, { outcome: result }, shouldLog, () => ({
      request: draft.trace ?? id,
      ...{ account: draft.account, group: draft.group, kind: draft.kind, status },
      priority: draft.priority,
      ...{ revision: records.revision, leaseLeftMs: roundMilliseconds(lease.leftMs) },
      tokensMs: roundMilliseconds((admittedMs ?? nowMs) - arrivedMs),
      holder: records.getGroupAssignment(draft.group)?.holder?.host,
      ...(reader === undefined
        ? {}
        : { reader: reader.instance, readerRefusal: reader.fault?.message }),
      ...{ onReplica, waitMs: roundMilliseconds(waitMs), serviceMs: roundMilliseconds(serviceMs) },
      ...{
        totalMs: roundMilliseconds(totalMs),
        deadlineLeftMs: roundMilliseconds(deadlineMs - nowMs),
      },
      ...(fault === undefined
        ? {}
        : { cause: toFault(fault).message, step: fault.step, peer: fault.peer }),
      ...(fault === undefined
        ? {}
        : { execution: fault.execution, retryAfterMs: fault.retryAfterMs }),
    }));
  }

  private recordOutcome(outcome: RequestOutcome): void {
    const { fault, onReplica, waitMs, serviceMs } = outcome;
    this.logOutcome(outcome);
    const { account, priority } = this.draft;
    const { priorities } = this.context.metrics;
    const metrics = this.context.metrics.getAccount(account);
    if (fault !== undefined) {
      metrics.recordRefused(toFault(fault).diagnostic);
      priorities.recordRefused(priority, fault.code);
      return;
    }
    const totalMs = this.context.timer.now() - this.arrivedMs;
    metrics.recordRequest(REQUEST_CLASSES[this.draft.kind], { waitMs, serviceMs, totalMs });
    priorities.recordAnswered(priority, waitMs, totalMs);
    if (this.draft.kind === RequestKind.Read) {
      this.context.metrics.recordRead(onReplica ? ReadSource.Replica : ReadSource.Primary);
    }
  }
}

class AdmittedHandle extends RunningRequest {
  constructor(private readonly admitted: AdmittedRequest) {
    super();
  }

  override consume(consumed: number): void {
    this.admitted.consume(consumed);
  }

  override cancel(): void {
    this.admitted.cancel((running) => running.cancel());
  }

  override revoke(): void {
    this.admitted.cancel((running) => running.revoke());
  }

  override abandon(): void {
    this.admitted.cancel((running) => running.abandon());
  }
}

function roundMilliseconds(durationMs: number): number {
  return Math.round(durationMs);
}

function createLeaseExpiredFault(): Fault {
  const context = { step: 'entry.lease', retryAfterMs: LEASE_RETRY_MS };
  return createFault(Diagnostics.LeaseExpired, {}, context);
}

function createCancelledFault(): Fault {
  return createFault(Diagnostics.RequestCancelled, {}, { step: 'entry.admit' });
}
