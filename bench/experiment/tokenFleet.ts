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
  type RefuseAdmission,
} from '../../src/decisions/limits/index.js';
import type { EventLoop } from './eventLoop.js';
import type { FakeNetwork } from './fakeNetwork.js';
import type { FleetDaemon, LimiterFactory } from './fleetDaemon.js';

/** Interval of the daemons' ticks in milliseconds. */
export const FLEET_TICK_MS = 5;

/** An admission at one daemon of the fleet. */
export interface Admission {
  readonly atMs: number;
  readonly account: AccountId;
  readonly cost: number;
}

interface FleetAccount {
  limit: AccountLimit;
  /** The daemon that holds the account; undefined while it moves. */
  holder: number | undefined;
}

/** Told about what became of requests. */
export abstract class AdmissionObserver {
  abstract admitted(daemon: number, admit: Admit): void;
  abstract refused(daemon: number, refuse: RefuseAdmission): void;
}

/** Entry limiters and rate buckets of several daemons over a fake network. */
export class TokenFleet {
  readonly admissions: Admission[] = [];
  private readonly accounts = new Map<AccountId, FleetAccount>();
  private readonly indexOf = new Map<HostId, number>();
  private readonly costs = new Map<RequestId, number>();

  constructor(
    readonly loop: EventLoop,
    private readonly network: FakeNetwork,
    readonly daemons: readonly FleetDaemon[],
    private readonly factory: LimiterFactory,
    private readonly observer: AdmissionObserver | undefined,
  ) {
    for (const daemon of daemons) {
      this.indexOf.set(daemon.host, daemon.index);
    }
    loop.every(FLEET_TICK_MS, () => this.tickAll());
  }

  /** Puts a limit in force at every daemon at once. */
  setLimit(account: AccountId, limit: AccountLimit): void {
    const known = this.accounts.get(account);
    this.accounts.set(account, { limit, holder: known?.holder });
    for (const daemon of this.daemons) {
      this.perform(daemon, daemon.limiter.setLimit(account, limit));
      const bucket = daemon.buckets.get(account);
      this.performBucket(daemon, bucket?.setLimit(limit, this.localNow(daemon)) ?? []);
    }
  }

  /**
   * Ends the holder's lease at once and assigns the account to another daemon. The earlier holder
   * keeps its bucket and goes on answering until it is assigned the account again.
   */
  assign(account: AccountId, holder: number | undefined, tellDelayMs = 0): void {
    const state = this.getAccount(account);
    if (state.holder !== undefined) {
      const earlier = this.getDaemon(state.holder);
      earlier.buckets.get(account)?.setLeaseEnd(this.localNow(earlier));
    }
    state.holder = holder;
    if (holder !== undefined) {
      const daemon = this.getDaemon(holder);
      const assignedMs = this.localNow(daemon);
      const { limit } = state;
      const options = { account, lease: daemon.lease, limit, assignedMs };
      daemon.buckets.set(account, this.factory.createBucket(options));
    }
    for (const daemon of this.daemons) {
      this.loop.after(tellDelayMs, () => this.tellHolder(daemon, account));
    }
  }

  /** Stops the process's work for a time; what arrives waits. */
  pause(index: number, durationMs: number): void {
    const daemon = this.getDaemon(index);
    daemon.pausedUntilMs = Math.max(daemon.pausedUntilMs, this.loop.nowMs + durationMs);
  }

  /** Stops a daemon; the accounts it held have no holder until assigned. */
  stop(index: number): void {
    this.getDaemon(index).stop();
    for (const [account, state] of this.accounts) {
      if (state.holder === index) {
        this.assign(account, undefined);
      }
    }
  }

  /** Starts a daemon again as a new incarnation; it holds nothing. */
  restart(index: number): void {
    this.stop(index);
    const daemon = this.getDaemon(index);
    daemon.restart();
    for (const [account, state] of this.accounts) {
      daemon.limiter.setLimit(account, state.limit);
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
    return this.getAccount(account).holder;
  }

  /** Unexpired tokens of an account in stock at all running daemons. */
  getStock(account: AccountId): number {
    return this.daemons
      .filter((daemon) => daemon.isRunning)
      .reduce((sum, daemon) => sum + daemon.limiter.getStock(account, this.localNow(daemon)), 0);
  }

  /** The bucket at an account's holder. */
  getBucket(account: AccountId): RateBucket | undefined {
    const index = this.getAccount(account).holder;
    return index === undefined ? undefined : this.getDaemon(index).buckets.get(account);
  }

  /** Whether an account's holder grants tokens. */
  isHolderReady(account: AccountId): boolean {
    const index = this.getAccount(account).holder;
    if (index === undefined) {
      return false;
    }
    const daemon = this.getDaemon(index);
    return daemon.buckets.get(account)?.isReady(this.localNow(daemon)) ?? false;
  }

  private tellHolder(daemon: FleetDaemon, account: AccountId): void {
    const index = this.getAccount(account).holder;
    const holder = index === undefined ? undefined : this.getDaemon(index);
    const value = holder === undefined ? undefined : { host: holder.host, lease: holder.lease };
    this.perform(daemon, daemon.limiter.setHolder(account, value, this.localNow(daemon)));
  }

  private tickAll(): void {
    for (const daemon of this.daemons) {
      if (daemon.isRunning && daemon.pausedUntilMs <= this.loop.nowMs) {
        const nowMs = this.localNow(daemon);
        for (const bucket of daemon.buckets.values()) {
          this.performBucket(daemon, bucket.tick(nowMs));
        }
        this.perform(daemon, daemon.limiter.tick(nowMs));
      }
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

  private getAccount(account: AccountId): FleetAccount {
    const state = this.accounts.get(account);
    if (state === undefined) {
      throw new RangeError(`No account ${account}.`);
    }
    return state;
  }
}
