import type { Admission } from '../experiment/tokenFleet.js';
import { createPeriods, findExcess } from '../experiment/admissionBound.js';
import { assertInvariant } from '../../src/common/diagnostics/index.js';
import { toRequestId, type AccountId } from '../../src/common/ids/index.js';
import {
  EntryLimiter,
  GRANT_EXPIRY_MS,
  LimiterOutputKind,
  RateBucket,
  TokenMessageKind,
  type AccountLimit,
  type RateBucketOptions,
  type TokenMessage,
} from '../../src/decisions/limits/index.js';
import type { FakeDaemon, FakeFleet } from '../../tests/support/fleet/index.js';

const DEADLINE_MS = 1500;
const DRIFT_MARGIN = 1.02;

/** Creates the rate bucket of an account at its holder. */
export type BucketFactory = (options: RateBucketOptions) => RateBucket;

/** One life of a daemon: its share in handing out and admitting under one account's rate. */
class DaemonRates {
  readonly limiter: EntryLimiter;
  private bucket: RateBucket | undefined;

  constructor(
    private readonly daemon: FakeDaemon,
    private readonly rates: AccountRates,
  ) {
    this.limiter = new EntryLimiter(daemon.host, daemon.incarnation);
    daemon.accountRelease = (account) =>
      account !== rates.account || this.bucket?.release(daemon.clockMs) !== false;
  }

  step(requests: number): void {
    const { account } = this.rates;
    const { records, clockMs: nowMs } = this.daemon;
    const state = records.getAccount(account);
    if (state === undefined) {
      return;
    }
    const limit = { rate: state.rate, burst: state.burst };
    this.perform(this.limiter.setLimit(account, limit));
    const holder = records.getAccountAssignment(account)?.holder;
    this.perform(this.limiter.setHolder(account, holder, nowMs));
    this.updateBucket(limit, nowMs);
    for (let count = 0; count < requests; count++) {
      const deadlineMs = nowMs + DEADLINE_MS;
      const requestId = this.rates.nextRequest();
      this.perform(this.limiter.request({ requestId, account, cost: 1, deadlineMs }, nowMs));
    }
    this.perform(this.limiter.tick(nowMs));
    this.perform(this.bucket?.tick(nowMs) ?? []);
  }

  receive(message: TokenMessage): void {
    const { clockMs: nowMs } = this.daemon;
    if (message.kind === TokenMessageKind.Grant || message.kind === TokenMessageKind.Recall) {
      this.perform(this.limiter.receive(message, nowMs));
    } else if (this.daemon.isHandingOut(this.rates.account)) {
      this.perform(this.bucket?.receive(message, nowMs) ?? []);
    }
  }

  private updateBucket(limit: AccountLimit, nowMs: number): void {
    const { account } = this.rates;
    const { lease } = this.daemon;
    if (!this.daemon.isHandingOut(account)) {
      this.bucket = undefined;
    } else {
      const leaseEndMs = nowMs + this.daemon.getLeftMs();
      if (this.bucket?.lease !== lease.id) {
        const options = { account, lease: lease.id, limit, assignedMs: nowMs, leaseEndMs };
        this.bucket = this.rates.createBucket(options);
      }
      this.bucket.setLeaseEnd(leaseEndMs);
      if (this.daemon.isGivingUp(account)) {
        this.bucket.drain(nowMs);
      }
    }
  }

  private perform(outputs: ReturnType<EntryLimiter['tick'] | RateBucket['tick']>): void {
    for (const output of outputs) {
      if (output.kind === LimiterOutputKind.Admit) {
        this.rates.admit();
      } else if (output.kind === LimiterOutputKind.Send) {
        this.rates.send(this.daemon, output.to, output.message);
      }
    }
  }
}

/** Callers that ask for more than one account's rate at every daemon; checks rate and burst. */
export class AccountRates {
  readonly admissions: Admission[] = [];
  private readonly lives = new Map<string, DaemonRates>();
  private requests = 0;

  constructor(
    private readonly fleet: FakeFleet,
    readonly account: AccountId,
    readonly createBucket: BucketFactory,
  ) {}

  step(): void {
    for (const daemon of this.fleet.daemons) {
      if (daemon.isAlive && daemon.pausedUntilMs <= this.fleet.nowMs) {
        const requests = this.fleet.random.next() < 0.1 ? 1 : 0;
        this.getLife(daemon).step(requests);
      }
    }
  }

  /** What was admitted stays within the limit over every window. */
  check(limit: AccountLimit): void {
    const periods = createPeriods([{ fromMs: 0, limit }], GRANT_EXPIRY_MS * DRIFT_MARGIN);
    const isWithin = findExcess(this.admissions, periods) === undefined;
    assertInvariant(isWithin, 'admissions stay within rate and burst over every window');
  }

  nextRequest() {
    this.requests++;
    return toRequestId(`rate-${this.requests}`);
  }

  admit(): void {
    this.admissions.push({ atMs: this.fleet.nowMs, account: this.account, cost: 1 });
  }

  send(from: FakeDaemon, to: string, message: TokenMessage): void {
    const target = this.fleet.daemons.find((each) => each.host === to);
    if (target === undefined) {
      return;
    }
    this.fleet.network.send(from.host, to, this.fleet.nowMs, () =>
      target.receive(() => this.getLife(target).receive(message)),
    );
  }

  private getLife(daemon: FakeDaemon): DaemonRates {
    const life = this.lives.get(daemon.incarnation) ?? new DaemonRates(daemon, this);
    this.lives.set(daemon.incarnation, life);
    return life;
  }
}
