import {
  type AccountId,
  type HostId,
  type Incarnation,
  toHostId,
  toIncarnation,
  toLeaseId,
} from '../../src/common/ids/index.js';
import {
  EntryLimiter,
  RateBucket,
  type RateBucketOptions,
} from '../../src/decisions/limits/index.js';
import { FleetLease } from './fleetLease.js';

/** Creates the decision parts of a daemon, so that tests can use deliberately broken ones. */
export abstract class LimiterFactory {
  abstract createBucket(options: RateBucketOptions): RateBucket;
  abstract createLimiter(entry: HostId, incarnation: Incarnation): EntryLimiter;
}

/** Creates the parts that the daemon uses. */
export class ProductLimiterFactory extends LimiterFactory {
  override createBucket(options: RateBucketOptions): RateBucket {
    return new RateBucket(options);
  }

  override createLimiter(entry: HostId, incarnation: Incarnation): EntryLimiter {
    return new EntryLimiter(entry, incarnation);
  }
}

/** One daemon of the fake fleet: an entry limiter, the buckets it holds and a drifting clock. */
export class FleetDaemon {
  readonly host: HostId;
  readonly buckets = new Map<AccountId, RateBucket>();
  limiter: EntryLimiter;
  isRunning = true;
  /** The process does nothing before this real time. */
  pausedUntilMs = 0;
  /** The lease that control granted last; may be over. */
  lease: FleetLease | undefined;
  private life = 1;
  private leaseCount = 0;

  constructor(
    readonly index: number,
    private readonly clockOffsetMs: number,
    private readonly clockDrift: number,
    private readonly factory: LimiterFactory,
  ) {
    this.host = toHostId(`h${index}`);
    this.limiter = this.createLimiter();
  }

  /** Extends the lease; when it is over, what was held under it is dropped and another begins. */
  renewLease(lengthMs: number, nowMs: number): void {
    if (this.lease?.isOver(nowMs) === false) {
      this.lease.renew(nowMs);
      return;
    }
    this.buckets.clear();
    this.leaseCount += 1;
    const id = toLeaseId(`${this.host}-${this.life}.${this.leaseCount}`);
    this.lease = new FleetLease(id, lengthMs, nowMs);
  }

  /** The end of the lease by this daemon's clock. */
  getLeaseEndMs(): number {
    return this.lease?.getEndMs((realMs) => this.toLocal(realMs)) ?? Number.NEGATIVE_INFINITY;
  }

  /** This daemon's clock at a real time. */
  toLocal(realMs: number): number {
    return this.clockOffsetMs + realMs * (1 + this.clockDrift);
  }

  /** Ends the process: everything in memory is lost. */
  stop(): void {
    this.isRunning = false;
    this.buckets.clear();
    this.lease = undefined;
  }

  /** Starts the process as a new incarnation, without a lease. */
  restart(): void {
    this.stop();
    this.life += 1;
    this.limiter = this.createLimiter();
    this.isRunning = true;
  }

  private createLimiter(): EntryLimiter {
    return this.factory.createLimiter(this.host, toIncarnation(`${this.host}#${this.life}`));
  }
}
