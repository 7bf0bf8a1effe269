import type { FailureDomain, GroupId, InstanceId } from '../../common/ids/index.js';
import { LocalityStage } from '../../common/metrics/index.js';
import type { TimerService } from '../../common/timer/index.js';
import type { DaemonRecords } from '../../decisions/control/index.js';
import {
  ReaderSelector,
  TimedReaderSelector,
  type ReaderCandidate,
  type ReaderSpread,
  type ReadRequirement,
} from '../../decisions/routing/index.js';
import { isServedPrimary, type GroupHolder, type HolderLease } from '../holder/index.js';
import { MeshKind, type Mesh } from '../mesh/index.js';
import {
  LocalityMonitor,
  RequestKind,
  type ExecuteRequest,
  type LocalityContext,
  type RequestOutcome,
  type RunningRequest,
} from '../requests/index.js';
import type { DispatchedRequest } from './dispatchedRequest.js';
import type { RequestDraft } from './dispatcher.js';
import { ReaderAttempt } from './readerAttempt.js';
import type { EntryOverload } from './entryOverload.js';
import { ReaderResults, type SentRead, type TimedChoice } from './readerResults.js';
import type { RemoteRequests } from './remoteRequests.js';

/** Share of the remaining time that a read waits for its reader; the rest is left to the holder. */
const READER_TIME_SHARE = 0.5;

/** Dependencies of requests to readers. */
export interface ReaderContext {
  readonly domain: FailureDomain;
  readonly timer: TimerService;
  readonly records: DaemonRecords;
  readonly lease: HolderLease;
  readonly holder: GroupHolder;
  readonly remote: RemoteRequests;
  readonly mesh: Mesh;
  /** Present where reads leave the own failure domain in measured shares. */
  readonly locality?: LocalityContext;
  /** Present where readers are chosen by measured time. */
  readonly timedChoice?: TimedChoice;
  /** Overload control; undefined where it is off. */
  readonly overload?: EntryOverload;
}

/** Sends requests of this daemon's callers to the readers of replicas. */
export class ReaderRequests {
  private readonly selectors = new Map<GroupId, ReaderSelector>();
  private readonly monitors = new Map<GroupId, LocalityMonitor>();
  /** Reader of each open transaction of this daemon's callers that runs on a replica. */
  private readonly openTransactions = new Map<string, ReaderCandidate>();

  private readonly results: ReaderResults;

  constructor(private readonly context: ReaderContext) {
    this.results = new ReaderResults(context.timer, context.timedChoice);
  }

  /** Returns the reader for a request; undefined if the holder of its group has to run it. */
  findReader({ draft, hasTriedReader }: DispatchedRequest): ReaderCandidate | undefined {
    if (draft.transaction !== undefined) {
      return this.openTransactions.get(draft.transaction);
    }
    if (hasTriedReader) {
      return undefined;
    }
    const candidates = this.getReaders(draft);
    if (candidates.length === 0) {
      return undefined;
    }
    const selector = this.getSelector(draft.group);
    const chosen = selector.choose(candidates, this.context.timer.now());
    this.results.recordTrials(selector);
    return chosen;
  }

  /** Returns the readers that may run a request which is in no transaction. */
  getReaders(draft: RequestDraft): readonly ReaderCandidate[] {
    const mayRead = isOpeningRead(draft) && ReaderSelector.isReadable(getRequirement(draft));
    return mayRead ? this.getCandidates(draft.group) : [];
  }

  /** Sends a request to a reader; calls `onFallback` if the holder has to run it instead. */
  send(
    reader: ReaderCandidate,
    request: ExecuteRequest,
    dispatched: DispatchedRequest,
    onFallback: () => void,
  ): RunningRequest | undefined {
    const { timer, lease, holder, remote, overload } = this.context;
    const selector = this.getSelector(request.group);
    selector.recordStart(reader.instance);
    const sent: SentRead = { reader, request, sentMs: timer.now() };
    const attempt = new ReaderAttempt(dispatched, {
      answered: () => {
        sent.answeredMs = timer.now();
      },
      ended: (outcome) => {
        selector.recordEnd(reader.instance);
        if (!dispatched.isCancelled) {
          this.results.recordEnd(selector, sent, outcome.fault?.code);
        }
        this.recordTransaction(reader, request, outcome);
        this.recordOutcome(reader, request, outcome, attempt.answerLength);
        dispatched.finish(outcome);
      },
      fellBack: (fault, isSuspect) => {
        selector.recordEnd(reader.instance);
        if (isSuspect) {
          this.results.recordFailure(selector, sent, fault?.diagnostic.code);
        }
        if (fault === undefined) {
          this.monitors.get(request.group)?.recordTimeout(this.isOwn(reader), timer.now());
        }
        dispatched.handleReaderFailure(fault);
        onFallback();
      },
    });
    dispatched.reader = reader.instance;
    dispatched.hasTriedReader = true;
    const receiver = overload?.observe(request, attempt) ?? attempt;
    const running =
      reader.holder.lease === lease.id
        ? holder.execute(request, receiver)
        : remote.send(reader.holder.address, request, receiver);
    const isOpening = request.transaction === undefined;
    const timeoutMs = isOpening ? request.remainingMs * READER_TIME_SHARE : request.remainingMs;
    const cancelTimer = isOpening
      ? timer.once(timeoutMs, () => attempt.handleTimeout())
      : () => undefined;
    attempt.setRunning(running, cancelTimer);
    return running;
  }

  /** Rolls back a transaction at its reader; returns false if no reader holds it. */
  abortTransaction(group: GroupId, transaction: string): boolean {
    const reader = this.openTransactions.get(transaction);
    if (reader === undefined) {
      return false;
    }
    this.openTransactions.delete(transaction);
    const { holder, mesh, lease } = this.context;
    if (reader.holder.lease === lease.id) {
      holder.abortTransaction(group, transaction);
    } else {
      const kind = MeshKind.AbortTransaction;
      mesh.send(reader.holder.address, { kind, group, transaction });
    }
    return true;
  }

  private isOwn({ domain }: ReaderCandidate): boolean {
    return domain === this.context.domain;
  }

  private recordOutcome(
    reader: ReaderCandidate,
    { group, payload }: ExecuteRequest,
    { fault, waitMs }: RequestOutcome,
    answerLength: number,
  ): void {
    const byteLength = payload.length + answerLength;
    const outcome = { isOwnDomain: this.isOwn(reader), code: fault?.code, waitMs, byteLength };
    this.monitors.get(group)?.record(outcome, this.context.timer.now());
  }

  private recordTransaction(
    reader: ReaderCandidate,
    { transaction }: ExecuteRequest,
    outcome: RequestOutcome,
  ): void {
    if (outcome.transaction !== undefined) {
      this.openTransactions.set(outcome.transaction, reader);
    } else if (transaction !== undefined) {
      this.openTransactions.delete(transaction);
    }
  }

  private getCandidates(group: GroupId): readonly ReaderCandidate[] {
    const { records, lease } = this.context;
    const primary = records.getPrimary(group);
    const isPaced = (records.getGroup(group)?.warmupPerSecond ?? 0) > 0;
    const candidates: ReaderCandidate[] = [];
    for (const { instance, domain, warmupMs, startedMs } of records.getInstances(group)) {
      const reader = records.getReader(group, instance)?.holder;
      const isReplica = !isServedPrimary(primary, instance);
      if (reader !== undefined && isReplica && this.isInService(group, instance, domain)) {
        const isLocal = reader.lease === lease.id;
        const isCold = isPaced && warmupMs !== undefined;
        candidates.push({ instance, domain, holder: reader, isLocal, isCold, startedMs });
      }
    }
    return candidates;
  }

  private isInService(group: GroupId, instance: InstanceId, domain: FailureDomain): boolean {
    const { records } = this.context;
    return records.isInService(domain) && !records.isLeaving(group, instance);
  }

  private getSelector(group: GroupId): ReaderSelector {
    const existing = this.selectors.get(group);
    if (existing !== undefined) {
      return existing;
    }
    const created = this.createSelector(group);
    this.selectors.set(group, created);
    return created;
  }

  private createSelector(group: GroupId): ReaderSelector {
    const { domain, timedChoice } = this.context;
    const spread = this.createSpread(group);
    return timedChoice === undefined
      ? new ReaderSelector(domain, spread)
      : new TimedReaderSelector(domain, timedChoice.random, spread);
  }

  private createSpread(group: GroupId): ReaderSpread | undefined {
    const { locality } = this.context;
    if (locality === undefined) {
      return undefined;
    }
    const monitor = new LocalityMonitor(locality, LocalityStage.Entry, group);
    this.monitors.set(group, monitor);
    return { share: monitor.share, random: locality.random };
  }
}

function isOpeningRead({ kind, readOnly }: RequestDraft): boolean {
  return kind === RequestKind.Read || (kind === RequestKind.Begin && readOnly === true);
}

function getRequirement({
  session,
  maximumStalenessMs,
  latest = false,
}: RequestDraft): ReadRequirement {
  return { session, maximumStalenessMs, latest };
}
