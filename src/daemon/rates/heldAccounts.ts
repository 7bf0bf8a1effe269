import type { AccountId, LeaseId, Revision } from '../../common/ids/index.js';
import type { Metrics } from '../../common/metrics/index.js';
import type {
  AccountAssignment,
  AccountCount,
  DaemonRecords,
} from '../../decisions/control/index.js';
import {
  RateBucket,
  TokenMessageKind,
  type AccountLimit,
  type BucketOutput,
  type MessageToHolder,
} from '../../decisions/limits/index.js';
import type { HolderLease } from '../holder/index.js';
import { EarlyRequests } from './earlyRequests.js';

/** Accounts whose tokens this daemon grants under its present lease. */
export class HeldAccounts {
  private readonly buckets = new Map<AccountId, RateBucket>();
  /** Messages that arrived for each held account, a measure of the work for it. */
  private readonly messageCounts = new Map<AccountId, number>();
  /** Released accounts, with the tokens that were left. */
  private readonly released = new Map<AccountId, number>();
  /**
   * Revision of the last assignment processed for each account: its tokens may be used only once.
   */
  private readonly lastAssignments = new Map<AccountId, Revision>();
  private readonly earlyRequests = new EarlyRequests();
  private lease: LeaseId | undefined;

  constructor(
    private readonly records: DaemonRecords,
    private readonly daemonLease: HolderLease,
    private readonly metrics: Metrics,
    private readonly reportNow: () => void,
  ) {}

  /**
   * Number of accounts held here, including released ones whose assignment control has not ended.
   */
  get count(): number {
    return this.buckets.size + this.released.size;
  }

  /** Accounts released under the present lease. */
  get releasedAccounts(): readonly AccountId[] {
    return [...this.released.keys()];
  }

  /** Tokens that were left in the buckets of the released accounts. */
  get releasedTokens(): Readonly<Record<AccountId, number>> {
    return Object.fromEntries(this.released);
  }

  /** Returns the number of messages for each held account, since it was taken. */
  getMessageCounts(): readonly AccountCount[] {
    return [...this.messageCounts];
  }

  /** Applies the limit and the assignment of an account. */
  update(account: AccountId, nowMs: number): BucketOutput[] {
    this.observeLease();
    const assignment = this.records.getAccountAssignment(account);
    const lease = assignment?.holder?.lease;
    if (assignment === undefined || lease === undefined || lease !== this.lease) {
      this.buckets.delete(account);
      this.messageCounts.delete(account);
      this.released.delete(account);
      return [];
    }
    return this.released.has(account) ? [] : this.holdAccount(assignment, lease, nowMs);
  }

  /** Drops the accounts that were held under a lease that has ended. */
  observeLease(): void {
    const { id } = this.daemonLease;
    const lease = this.daemonLease.isValid() ? id : undefined;
    if (lease !== this.lease) {
      this.lease = lease;
      this.buckets.clear();
      this.messageCounts.clear();
      this.released.clear();
    }
  }

  /** Handles a message of an entry daemon. */
  receive(message: MessageToHolder, nowMs: number): BucketOutput[] {
    this.observeLease();
    if (this.lease === undefined || message.lease !== this.lease) {
      return [];
    }
    const bucket = this.buckets.get(message.account);
    if (bucket === undefined) {
      this.earlyRequests.add(message, nowMs);
      return [];
    }
    const { account } = message;
    this.messageCounts.set(account, (this.messageCounts.get(account) ?? 0) + 1);
    bucket.setLeaseEnd(nowMs + this.daemonLease.leftMs);
    return this.countTokens(bucket, bucket.receive(message, nowMs));
  }

  /** Grants the tokens that became available, and releases accounts whose draining has finished. */
  tick(nowMs: number): BucketOutput[] {
    this.observeLease();
    const leaseEndMs = nowMs + this.daemonLease.leftMs;
    const outputs: BucketOutput[] = [];
    for (const [account, bucket] of this.buckets) {
      bucket.setLeaseEnd(leaseEndMs);
      outputs.push(...this.countTokens(bucket, bucket.tick(nowMs)));
      if (bucket.release(nowMs)) {
        this.releaseAccount(account, Math.max(0, bucket.getAvailable()));
      }
    }
    return outputs;
  }

  private holdAccount(
    assignment: AccountAssignment,
    lease: LeaseId,
    nowMs: number,
  ): BucketOutput[] {
    const { account, draining } = assignment;
    const bucket = this.buckets.get(account);
    if (draining && bucket === undefined) {
      // Nothing was granted under this lease, so that no grant has to expire first.
      this.releaseAccount(account, this.claimTokens(assignment));
      return [];
    }
    const state = this.records.getAccount(account);
    if (state === undefined) {
      return [];
    }
    const limit = { rate: state.rate, burst: state.burst };
    return bucket === undefined
      ? this.openBucket(assignment, lease, limit, nowMs)
      : this.updateBucket(bucket, limit, draining, nowMs);
  }

  private updateBucket(
    bucket: RateBucket,
    limit: AccountLimit,
    draining: boolean,
    nowMs: number,
  ): BucketOutput[] {
    if (draining) {
      bucket.drain(nowMs);
    }
    return this.countTokens(bucket, bucket.setLimit(limit, nowMs));
  }

  private openBucket(
    assignment: AccountAssignment,
    lease: LeaseId,
    limit: AccountLimit,
    nowMs: number,
  ): BucketOutput[] {
    const leaseEndMs = nowMs + this.daemonLease.leftMs;
    const { account } = assignment;
    const tokens = this.claimTokens(assignment);
    const held = { account, lease, limit, tokens };
    const bucket = new RateBucket({ ...held, assignedMs: nowMs, leaseEndMs });
    this.buckets.set(account, bucket);
    this.messageCounts.set(account, 0);
    return this.earlyRequests
      .take(account, nowMs)
      .flatMap((message) => this.countTokens(bucket, bucket.receive(message, nowMs)));
  }

  /**
   * Returns the tokens of an assignment, once: after the lease was briefly invalid, its
   * assignments are processed again, but their tokens have already been used.
   */
  private claimTokens({ account, since, tokens = 0 }: AccountAssignment): number {
    const isFirst = this.lastAssignments.get(account) !== since;
    this.lastAssignments.set(account, since);
    return isFirst ? tokens : 0;
  }

  private releaseAccount(account: AccountId, tokens: number): void {
    this.buckets.delete(account);
    this.messageCounts.delete(account);
    this.released.set(account, tokens);
    this.reportNow();
  }

  private countTokens(bucket: RateBucket, outputs: BucketOutput[]): BucketOutput[] {
    const returned = bucket.takeReturned();
    let granted = 0;
    for (const { message } of outputs) {
      granted += message.kind === TokenMessageKind.Grant ? message.amount : 0;
    }
    if (granted > 0 || returned > 0) {
      const account = this.metrics.getAccount(bucket.account);
      account.recordTokensGranted(granted);
      account.recordTokensReturned(returned);
    }
    return outputs;
  }
}
