import type { AccountId, HostId, Incarnation, RequestId } from '../../common/ids/index.js';
import { createFault, type Fault } from '../../common/diagnostics/index.js';
import type { Metrics } from '../../common/metrics/index.js';
import { AdaptiveTick, type TimerService } from '../../common/timer/index.js';
import {
  RecordKind,
  type AccountCount,
  type ControlRecord,
  type DaemonRecords,
  type SubjectInForce,
} from '../../decisions/control/index.js';
import {
  EntryLimiter,
  LimiterOutputKind,
  TokenMessageKind,
  type AdmissionRequest,
  type BucketOutput,
  type EntryOutput,
  type MessageToEntry,
  type MessageToHolder,
  type TokenMessage,
} from '../../decisions/limits/index.js';
import { SubjectKind } from '../../decisions/tickets/index.js';
import type { HolderLease } from '../holder/index.js';
import { HeldAccounts } from './heldAccounts.js';
import { MeshKind, type Mesh, type MeshLink } from '../mesh/index.js';

/**
 * Interval of ticks while busy. Waits and grants normally end when a message is received; ticks end
 * only those for which none is.
 */
const BUSY_TICK_MS = 15;
const IDLE_TICK_MS = 100;
/** Time after the last message or request for which ticks are frequent, in milliseconds. */
const ACTIVITY_WINDOW_MS = 50;

/** Receives the result of an admission: undefined if admitted, else the refusal. */
export type AdmissionCallback = (refusal: Fault | undefined) => void;

/**
 * Admits requests under the rates of their accounts, and grants tokens of the accounts held here.
 */
export class RateTask {
  private readonly limiter: EntryLimiter;
  private readonly heldAccounts: HeldAccounts;
  private readonly waiting = new Map<RequestId, AdmissionCallback>();
  private readonly links = new Map<HostId, MeshLink>();
  private configuredAccounts: readonly AccountId[] = [];
  private readonly ticks: AdaptiveTick;
  private lastActivityMs = 0;

  constructor(
    private readonly host: HostId,
    incarnation: Incarnation,
    private readonly mesh: Mesh,
    private readonly timer: TimerService,
    private readonly records: DaemonRecords,
    lease: HolderLease,
    metrics: Metrics,
    reportNow: () => void,
  ) {
    this.heldAccounts = new HeldAccounts(records, lease, metrics, reportNow);
    this.limiter = new EntryLimiter(host, incarnation);
    mesh.receive(MeshKind.TokenMessage, ({ link, message }) => {
      this.receive(link, message.content as TokenMessage);
    });
    this.ticks = new AdaptiveTick(timer, BUSY_TICK_MS, IDLE_TICK_MS, (nowMs) => {
      this.tick(nowMs);
      return this.waiting.size > 0 || nowMs - this.lastActivityMs < ACTIVITY_WINDOW_MS;
    });
  }

  /**
   * Number of accounts held here, including released ones whose assignment control has not ended.
   */
  get count(): number {
    return this.heldAccounts.count;
  }

  /** Accounts released under the present lease. */
  get releasedAccounts(): readonly AccountId[] {
    return this.heldAccounts.releasedAccounts;
  }

  /** Tokens that were left in the buckets of the released accounts. */
  get releasedTokens(): Readonly<Record<AccountId, number>> {
    return this.heldAccounts.releasedTokens;
  }

  /** Returns the number of token messages for each held account, since it was taken. */
  getMessageCounts(): readonly AccountCount[] {
    return this.heldAccounts.getMessageCounts();
  }

  /** Admits or refuses a request, possibly after a wait. */
  admit(request: AdmissionRequest, callback: AdmissionCallback): void {
    this.recordActivity();
    this.waiting.set(request.requestId, callback);
    this.performEntryOutputs(this.limiter.request(request, this.timer.now()));
  }

  /** Removes a waiting request; its callback is not called. */
  cancel(id: RequestId): void {
    this.waiting.delete(id);
    this.limiter.cancel(id);
  }

  /** Applies changed rates and holders. */
  recordsChanged(changed: readonly ControlRecord[]): void {
    for (const { value } of changed) {
      if (value.kind === RecordKind.Subject && value.state.kind === SubjectKind.Account) {
        this.setLimit(value.state.account);
      } else if (value.kind === RecordKind.Subject && isConfiguration(value)) {
        this.updateConfiguredAccounts();
      } else if (value.kind === RecordKind.AccountHolder) {
        this.setHolder(value.account);
      }
    }
  }

  /** Handles the start or end of the lease: accounts held under an ended lease are dropped. */
  leaseChanged(): void {
    this.heldAccounts.observeLease();
    for (const account of this.records.getAccounts()) {
      this.setHolder(account);
    }
  }

  /** Applies the limits of a complete configuration; removes accounts that it does not contain. */
  private updateConfiguredAccounts(): void {
    const accounts = new Set([...this.configuredAccounts, ...this.records.getAccounts()]);
    this.configuredAccounts = this.records.getAccounts();
    for (const account of accounts) {
      this.setLimit(account);
    }
  }

  private setLimit(account: AccountId): void {
    const state = this.records.getAccount(account);
    const limit = state === undefined ? undefined : { rate: state.rate, burst: state.burst };
    this.performEntryOutputs(this.limiter.setLimit(account, limit));
    this.setHolder(account);
  }

  /** Updates the bucket before the limiter, so that a limiter on the same host finds the bucket. */
  private setHolder(account: AccountId): void {
    const nowMs = this.timer.now();
    const holder = this.records.getAccountAssignment(account)?.holder;
    this.performBucketOutputs(this.heldAccounts.update(account, nowMs));
    this.performEntryOutputs(this.limiter.setHolder(account, holder, nowMs));
  }

  private tick(nowMs: number): void {
    this.performEntryOutputs(this.limiter.tick(nowMs));
    this.performBucketOutputs(this.heldAccounts.tick(nowMs));
  }

  private recordActivity(): void {
    this.lastActivityMs = this.timer.now();
    this.ticks.wake();
  }

  private receive(link: MeshLink, message: TokenMessage): void {
    this.recordActivity();
    if (link.peer !== undefined) {
      this.links.set(link.peer.host, link);
    }
    if (message.kind === TokenMessageKind.Grant || message.kind === TokenMessageKind.Recall) {
      this.receiveAtEntry(message);
    } else {
      this.receiveAtHolder(message);
    }
  }

  private receiveAtEntry(message: MessageToEntry): void {
    this.performEntryOutputs(this.limiter.receive(message, this.timer.now()));
  }

  private receiveAtHolder(message: MessageToHolder): void {
    this.performBucketOutputs(this.heldAccounts.receive(message, this.timer.now()));
  }

  private performEntryOutputs(outputs: readonly EntryOutput[]): void {
    for (const output of outputs) {
      switch (output.kind) {
        case LimiterOutputKind.Send:
          this.sendToHolder(output.to, output.message);
          break;
        case LimiterOutputKind.Admit:
          this.finish(output.requestId, undefined);
          break;
        case LimiterOutputKind.Refuse: {
          const { diagnostic, values, retryAfterMs } = output;
          const context = { step: 'rate.admit', retryAfterMs };
          this.finish(output.requestId, createFault(diagnostic, values, context));
          break;
        }
      }
    }
  }

  private performBucketOutputs(outputs: readonly BucketOutput[]): void {
    for (const { to, message } of outputs) {
      if (to === this.host) {
        this.receiveAtEntry(message);
      } else {
        this.links.get(to)?.send({ kind: MeshKind.TokenMessage, content: message });
      }
    }
  }

  private sendToHolder(to: HostId, message: MessageToHolder): void {
    if (to === this.host) {
      this.receiveAtHolder(message);
      return;
    }
    const holder = this.records.getAccountAssignment(message.account)?.holder;
    if (holder !== undefined) {
      this.mesh.send(holder.address, { kind: MeshKind.TokenMessage, content: message });
    }
  }

  private finish(id: RequestId, refusal: Fault | undefined): void {
    const callback = this.waiting.get(id);
    this.waiting.delete(id);
    callback?.(refusal);
  }
}

function isConfiguration({ state }: SubjectInForce): boolean {
  return state.kind === SubjectKind.Configuration;
}
