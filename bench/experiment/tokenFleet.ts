import { type AccountId, type HostId, type RequestId } from '../../src/common/ids/index.js';
import {
  type AccountLimit,
  type Admit,
  type BucketOutput,
  type EntryOutput,
  LimiterOutputKind,
  type MessageToEntry,
  type MessageToHolder,
  type RateBucket,
  type AdmissionRefusal,
} from '../../src/decisions/limits/index.js';
import type { EventLoop } from './eventLoop.js';
import type { FakeNetwork } from './fakeNetwork.js';
import {
  ControlObserver,
  type FleetAssignment,
  FleetControl,
  type FleetTerms,
} from './fleetControl.js';
import type { FleetDaemon, LimiterFactory } from './fleetDaemon.js';

/** Interval of the daemons' ticks in milliseconds. */
export const FLEET_TICK_MS = 5;

/** An admission at one daemon of the fleet. */
export interface Admission {
  readonly atMs: number;
  readonly account: AccountId;
  readonly cost: number;
}

/** Told about what became of requests. */
export abstract class AdmissionObserver {
  abstract admitted(daemon: number, admit: Admit): void;
  abstract refused(daemon: number, refuse: AdmissionRefusal): void;
}

/** Entry limiters and rate buckets of several daemons over a fake network. */
export class TokenFleet {
  readonly admissions: Admission[] = [];
  private readonly control: FleetControl;
  private readonly limits = new Map<AccountId, AccountLimit>();
  private readonly indexOf = new Map<HostId, number>();
  private readonly costs = new Map<RequestId, number>();
  /** Tokens that went with a release, until the next holder is named. */
  private readonly handedOver = new Map<AccountId, number>();

  constructor(
    readonly loop: EventLoop,
    private readonly network: FakeNetwork,
    readonly daemons: readonly FleetDaemon[],
    private readonly factory: LimiterFactory,
    private readonly observer: AdmissionObserver | undefined,
    terms: FleetTerms,
  ) {
    this.control = new FleetControl(loop, network, daemons, terms, this.createControlObserver());
    for (const daemon of daemons) {
      this.indexOf.set(daemon.host, daemon.index);
    }
    loop.every(FLEET_TICK_MS, () => this.tickAll());
  }

  /** Puts a limit in force at every daemon at once. */
  setLimit(account: AccountId, limit: AccountLimit): void {
    this.limits.set(account, limit);
    for (const daemon of this.daemons) {
      this.perform(daemon, daemon.limiter.setLimit(account, limit));
      const bucket = daemon.buckets.get(account);
      this.performBucket(daemon, bucket?.setLimit(limit, this.localNow(daemon)) ?? []);
    }
  }

  /** Assigns an account that never had a holder. */
  assign(account: AccountId, holder: number): void {
    this.control.assignFirst(account, this.getDaemon(holder));
  }

  /** Has an account's holder give it up to another daemon; `tellDelayMs` delays all news of it. */
  move(account: AccountId, successor: number, tellDelayMs = 0): void {
    this.control.move(account, this.getDaemon(successor), tellDelayMs);
  }

  /** Stops the process's work for a time; what arrives waits. */
  pause(index: number, durationMs: number): void {
    const daemon = this.getDaemon(index);
    daemon.pausedUntilMs = Math.max(daemon.pausedUntilMs, this.loop.nowMs + durationMs);
  }

  /** Ends a daemon's process; the accounts it held move once its lease is over. */
  stop(index: number): void {
    this.getDaemon(index).stop();
  }

  /** Ends a daemon's process and starts a new incarnation, which holds nothing. */
  restart(index: number): void {
    const daemon = this.getDaemon(index);
    daemon.restart();
    for (const [account, limit] of this.limits) {
      daemon.limiter.setLimit(account, limit);
      this.tellHolder(daemon, account);
    }
  }

  /** A request arrives at a daemon. */
  request(
    index: number,
    requestId: RequestId,
    account: AccountId,
    cost: number,
    timeoutMs: number,
  ): void {
    const daemon = this.getDaemon(index);
    this.whenAwake(daemon, () => {
      this.costs.set(requestId, cost);
      const nowMs = this.localNow(daemon);
      const request = { requestId, account, cost, deadlineMs: nowMs + timeoutMs };
      this.perform(daemon, daemon.limiter.request(request, nowMs));
    });
  }

  /** Requests that wait for tokens at any daemon. */
  get waitingCount(): number {
    return this.daemons.reduce((sum, daemon) => sum + daemon.limiter.waitingCount, 0);
  }

  /** The daemon that holds an account. */
  getHolder(account: AccountId): number | undefined {
    return this.control.getAssignment(account)?.daemon.index;
  }

  /** Unexpired tokens of an account in stock at all running daemons. */
  getStock(account: AccountId): number {
    return this.daemons
      .filter((daemon) => daemon.isRunning)
      .reduce((sum, daemon) => sum + daemon.limiter.getStock(account, this.localNow(daemon)), 0);
  }

  /** The bucket at an account's holder. */
  getBucket(account: AccountId): RateBucket | undefined {
    const assignment = this.control.getAssignment(account);
    return assignment === undefined ? undefined : this.findBucket(account, assignment);
  }

  private findBucket(account: AccountId, assignment: FleetAssignment): RateBucket | undefined {
    const bucket = assignment.daemon.buckets.get(account);
    return bucket?.lease === assignment.lease.id ? bucket : undefined;
  }

  private createControlObserver(): ControlObserver {
    return new AccountMoves(
      (account, assignment) => this.takeOver(account, assignment),
      (account, assignment) => {
        const { daemon } = assignment;
        this.findBucket(account, assignment)?.drain(this.localNow(daemon));
      },
      (account, tellDelayMs) => this.tellAll(account, tellDelayMs),
    );
  }

  private takeOver(account: AccountId, assignment: FleetAssignment): void {
    const { daemon, lease } = assignment;
    const tokens = this.handedOver.get(account) ?? 0;
    this.handedOver.delete(account);
    this.whenAwake(daemon, () => {
      const limit = this.limits.get(account);
      const isPresent = this.control.getAssignment(account) === assignment;
      if (isPresent && daemon.lease === lease && limit !== undefined) {
        const leaseEndMs = daemon.getLeaseEndMs();
        const assignedMs = this.localNow(daemon);
        const held = { account, lease: lease.id, limit, tokens };
        const options = { ...held, assignedMs, leaseEndMs };
        daemon.buckets.set(account, this.factory.createBucket(options));
      }
    });
  }

  private tellAll(account: AccountId, tellDelayMs: number): void {
    for (const daemon of this.daemons) {
      this.loop.after(tellDelayMs, () => this.tellHolder(daemon, account));
    }
  }

  private tellHolder(daemon: FleetDaemon, account: AccountId): void {
    const assignment = this.control.getAssignment(account);
    const value =
      assignment === undefined
        ? undefined
        : { host: assignment.daemon.host, lease: assignment.lease.id };
    this.perform(daemon, daemon.limiter.setHolder(account, value, this.localNow(daemon)));
  }

  private tickAll(): void {
    this.control.tick();
    for (const daemon of this.daemons) {
      if (daemon.isRunning && daemon.pausedUntilMs <= this.loop.nowMs) {
        const nowMs = this.localNow(daemon);
        for (const bucket of daemon.buckets.values()) {
          this.tickBucket(daemon, bucket, nowMs);
        }
        this.perform(daemon, daemon.limiter.tick(nowMs));
      }
    }
  }

  private tickBucket(daemon: FleetDaemon, bucket: RateBucket, nowMs: number): void {
    bucket.setLeaseEnd(daemon.getLeaseEndMs());
    this.performBucket(daemon, bucket.tick(nowMs));
    if (this.getBucket(bucket.account) === bucket && bucket.release(nowMs)) {
      this.handedOver.set(bucket.account, Math.max(0, bucket.getAvailable()));
      this.control.release(bucket.account);
    }
  }

  private perform(daemon: FleetDaemon, outputs: readonly EntryOutput[]): void {
    for (const output of outputs) {
      if (output.kind === LimiterOutputKind.Send) {
        this.sendToHolder(daemon, output.to, output.message);
      } else if (output.kind === LimiterOutputKind.Admit) {
        this.noteAdmission(daemon, output);
      } else {
        this.costs.delete(output.requestId);
        this.observer?.refused(daemon.index, output);
      }
    }
  }

  private noteAdmission(daemon: FleetDaemon, admit: Admit): void {
    const cost = this.costs.get(admit.requestId) ?? 0;
    this.costs.delete(admit.requestId);
    this.admissions.push({ atMs: this.loop.nowMs, account: admit.account, cost });
    this.observer?.admitted(daemon.index, admit);
  }

  private performBucket(daemon: FleetDaemon, outputs: readonly BucketOutput[]): void {
    for (const output of outputs) {
      this.sendToEntry(daemon, output.to, output.message);
    }
  }

  private sendToHolder(from: FleetDaemon, host: HostId, message: MessageToHolder): void {
    const to = this.getDaemon(this.indexOf.get(host) ?? 0);
    this.network.send(from.index, to.index, () =>
      this.whenAwake(to, () => {
        const bucket = to.buckets.get(message.account);
        this.performBucket(to, bucket?.receive(message, this.localNow(to)) ?? []);
      }),
    );
  }

  private sendToEntry(from: FleetDaemon, host: HostId, message: MessageToEntry): void {
    const to = this.getDaemon(this.indexOf.get(host) ?? 0);
    this.network.send(from.index, to.index, () =>
      this.whenAwake(to, () => {
        this.perform(to, to.limiter.receive(message, this.localNow(to)));
      }),
    );
  }

  /** Runs the handler in a running process, after its pause if it is paused. */
  private whenAwake(daemon: FleetDaemon, handler: () => void): void {
    const pauseMs = daemon.pausedUntilMs - this.loop.nowMs;
    if (!daemon.isRunning) {
      return;
    }
    if (pauseMs > 0) {
      this.loop.after(pauseMs, () => this.whenAwake(daemon, handler));
    } else {
      handler();
    }
  }

  private localNow(daemon: FleetDaemon): number {
    return daemon.toLocal(this.loop.nowMs);
  }

  private getDaemon(index: number): FleetDaemon {
    const daemon = this.daemons[index];
    if (daemon === undefined) {
      throw new RangeError(`No daemon ${index}.`);
    }
    return daemon;
  }
}

class AccountMoves extends ControlObserver {
  constructor(
    private readonly onAssigned: (account: AccountId, assignment: FleetAssignment) => void,
    private readonly onDrained: (account: AccountId, assignment: FleetAssignment) => void,
    private readonly onChanged: (account: AccountId, tellDelayMs: number) => void,
  ) {
    super();
  }

  override assigned(account: AccountId, assignment: FleetAssignment, tellDelayMs: number): void {
    this.onAssigned(account, assignment);
    this.onChanged(account, tellDelayMs);
  }

  override freed(account: AccountId, tellDelayMs: number): void {
    this.onChanged(account, tellDelayMs);
  }

  override drained(account: AccountId, assignment: FleetAssignment): void {
    this.onDrained(account, assignment);
  }
}
