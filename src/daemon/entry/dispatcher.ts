import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import { AdaptiveTick, type TimerService } from '../../common/timer/index.js';
import type { DaemonRecords, Holder } from '../../decisions/control/index.js';
import type { ReaderCandidate } from '../../decisions/routing/index.js';
import type { LoadSender } from '../../decisions/overload/index.js';
import type { GroupHolder, HolderLease } from '../holder/index.js';
import {
  createRefusedOutcome,
  RequestKind,
  sortByUrgency,
  type ExecuteRequest,
  type RequestIds,
  type RequestOutcome,
  type ResponseReceiver,
  type RunningRequest,
} from '../requests/index.js';
import { DispatchHandle, DispatchedRequest, type DispatchQueue } from './dispatchedRequest.js';
import type { EntryOverload } from './entryOverload.js';
import type { ReaderRequests } from './readerRequests.js';
import type { RemoteRequests } from './remoteRequests.js';

const BUSY_TICK_MS = 10;
const IDLE_TICK_MS = 500;

/** A request whose holder has not been determined yet. */
export type RequestDraft = Omit<ExecuteRequest, 'id' | 'lease' | 'remainingMs'>;

/** Sends requests to the holders of their groups or to readers; retries those that were not run. */
export class Dispatcher implements DispatchQueue {
  private readonly waiting = new Set<DispatchedRequest>();
  private readonly ticks: AdaptiveTick;

  constructor(
    private readonly ids: RequestIds,
    private readonly timer: TimerService,
    private readonly records: DaemonRecords,
    private readonly lease: HolderLease,
    private readonly holder: GroupHolder,
    private readonly remote: RemoteRequests,
    private readonly readers: ReaderRequests,
    private readonly overload?: EntryOverload,
  ) {
    this.ticks = new AdaptiveTick(timer, BUSY_TICK_MS, IDLE_TICK_MS, (nowMs) => {
      this.tick(nowMs);
      return this.waiting.size > 0;
    });
  }

  /** Runs a request; the receiver gets its answer, or a fault that says whether it was run. */
  dispatch(draft: RequestDraft, deadlineMs: number, receiver: ResponseReceiver): DispatchHandle {
    const dispatched = new DispatchedRequest(draft, deadlineMs, receiver, this);
    this.overload?.recordFirstAttempt(draft.group);
    this.sendOrWait(dispatched);
    return new DispatchHandle(dispatched);
  }

  /** Retries the requests that wait for a holder. */
  recordsChanged(): void {
    const nowMs = this.timer.now();
    for (const dispatched of this.getWaiting()) {
      if (this.mayRetryNow(dispatched, nowMs)) {
        this.sendOrWait(dispatched);
      }
    }
  }

  /**
   * Refuses a new request that cannot be served in time, before it uses its account's rate; returns
   * undefined if it may be dispatched.
   */
  checkOverload(draft: RequestDraft, deadlineMs: number): Fault | undefined {
    return this.overload?.check(draft, deadlineMs, () => this.getSenders(draft, false), 0);
  }

  /** Adjusts the outcome of a request that a queue refused as busy. */
  spreadRetry(draft: RequestDraft, deadlineMs: number, outcome: RequestOutcome): RequestOutcome {
    const getSenders = (): readonly LoadSender[] => this.getSenders(draft, false);
    return this.overload?.spreadRetry(draft, deadlineMs, getSenders, outcome) ?? outcome;
  }

  now(): number {
    return this.timer.now();
  }

  getRetryDelayMs({ draft, failedAttempts }: DispatchedRequest, firstMs: number): number {
    return this.overload?.getRetryDelayMs(draft.group, firstMs, failedAttempts) ?? firstMs;
  }

  waitForHolder(dispatched: DispatchedRequest): void {
    this.waiting.add(dispatched);
    this.ticks.wake();
  }

  stopWaiting(dispatched: DispatchedRequest): boolean {
    return this.waiting.delete(dispatched);
  }

  createWaitFault({ draft, lastFault }: DispatchedRequest): Fault {
    const context = { step: 'entry.dispatch', execution: Execution.NotRun };
    if (lastFault !== undefined) {
      return lastFault;
    }
    return this.lease.isValid()
      ? createFault(Diagnostics.NoHolder, { group: draft.group }, context)
      : createFault(Diagnostics.LeaseExpired, {}, context);
  }

  /** Returns the waiting requests, the most urgent first. */
  private getWaiting(): DispatchedRequest[] {
    return sortByUrgency(this.waiting, ({ draft }) => draft.priority);
  }

  private sendOrWait(dispatched: DispatchedRequest): void {
    this.waiting.delete(dispatched);
    const nowMs = this.timer.now();
    if (dispatched.isEnded) {
      return;
    }
    if (nowMs >= dispatched.deadlineMs) {
      dispatched.finish(createRefusedOutcome(this.createWaitFault(dispatched)));
      return;
    }
    if (dispatched.failedAttempts > 0) {
      const { draft, deadlineMs, hasTriedReader, failedAttempts } = dispatched;
      const getSenders = (): readonly LoadSender[] => this.getSenders(draft, hasTriedReader);
      const refusal = this.overload?.check(draft, deadlineMs, getSenders, failedAttempts);
      if (refusal !== undefined) {
        dispatched.finish(createRefusedOutcome(refusal));
        return;
      }
    }
    const reader = this.lease.isValid() ? this.readers.findReader(dispatched) : undefined;
    if (reader !== undefined) {
      this.sendToReader(reader, dispatched, nowMs);
      return;
    }
    const holder = this.findHolder(dispatched.draft);
    if (holder === undefined) {
      this.waitForHolder(dispatched);
      return;
    }
    const request = this.createRequest(dispatched, holder, nowMs);
    dispatched.lastLease = holder.lease;
    dispatched.setRunning(this.send(holder, request, dispatched));
  }

  private sendToReader(
    reader: ReaderCandidate,
    dispatched: DispatchedRequest,
    nowMs: number,
  ): void {
    const { instance } = reader;
    dispatched.lastLease = reader.holder.lease;
    const request = { ...this.createRequest(dispatched, reader.holder, nowMs), instance };
    const running = this.readers.send(reader, request, dispatched, () => {
      // A reader on this host may refuse the request synchronously, before `send` returns.
      queueMicrotask(() => {
        if (this.waiting.has(dispatched)) {
          this.sendOrWait(dispatched);
        }
      });
    });
    if (!this.waiting.has(dispatched)) {
      dispatched.setRunning(running);
    }
  }

  /** Returns the holder or the readers that may run a request. */
  private getSenders(draft: RequestDraft, hasTriedReader: boolean): readonly LoadSender[] {
    const { group } = draft;
    const readers = hasTriedReader ? [] : this.readers.getReaders(draft);
    if (readers.length > 0) {
      return readers.map(({ instance, holder: { lease } }) => ({ group, instance, lease }));
    }
    const lease = this.records.getGroupAssignment(group)?.holder?.lease;
    return lease === undefined ? [] : [{ group, instance: undefined, lease }];
  }

  /** Whether a waiting request may be sent again: its wait is over, or its holder has changed. */
  private mayRetryNow({ draft, retryAtMs, lastLease }: DispatchedRequest, nowMs: number): boolean {
    return (
      this.overload === undefined ||
      retryAtMs <= nowMs ||
      this.findHolder(draft)?.lease !== lastLease
    );
  }

  private createRequest(
    { draft, deadlineMs }: DispatchedRequest,
    { lease }: Holder,
    nowMs: number,
  ): ExecuteRequest {
    return { ...draft, id: this.ids.next(), lease, remainingMs: deadlineMs - nowMs };
  }

  private findHolder(draft: RequestDraft): Holder | undefined {
    if (!this.lease.isValid()) {
      return undefined;
    }
    const assignment = this.records.getGroupAssignment(draft.group);
    // A draining holder opens no new transactions of the group: retries would only add load.
    const refusesTransactions = assignment?.draining === true && draft.kind === RequestKind.Begin;
    return refusesTransactions ? undefined : assignment?.holder;
  }

  private send(
    holder: Holder,
    request: ExecuteRequest,
    dispatched: DispatchedRequest,
  ): RunningRequest | undefined {
    const receiver = this.overload?.observe(request, dispatched) ?? dispatched;
    return holder.lease === this.lease.id
      ? this.holder.execute(request, receiver)
      : this.remote.send(holder.address, request, receiver);
  }

  private tick(nowMs: number): void {
    for (const dispatched of this.getWaiting()) {
      if (dispatched.retryAtMs <= nowMs) {
        this.sendOrWait(dispatched);
      }
    }
  }
}
