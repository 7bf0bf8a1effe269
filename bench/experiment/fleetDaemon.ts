import {
  type AccountId,
  type HostId,
  type Incarnation,
  type LeaseId,
  toHostId,
  toIncarnation,
  toLeaseId,
} from '../../src/common/ids/index.js';
import {
  EntryLimiter,
  RateBucket,
  type RateBucketOptions,
} from '../../src/decisions/limits/index.js';

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
  private life = 1;

  constructor(
    readonly index: number,
    private readonly clockOffsetMs: number,
    private readonly clockDrift: number,
    private readonly factory: LimiterFactory,
  ) {
    this.host = toHostId(`h${index}`);
    this.limiter = this.createLimiter();
  }

  get lease(): LeaseId {
    return toLeaseId(`${this.host}-${this.life}`);
  }

  /** This daemon's clock at a real time. */
  toLocal(realMs: number): number {
    return this.clockOffsetMs + realMs * (1 + this.clockDrift);
  }

  /** Ends the process: everything in memory is lost. */
  stop(): void {
    this.isRunning = false;
    this.buckets.clear();
  }

  /** Starts the process as a new incarnation with a new lease. */
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
