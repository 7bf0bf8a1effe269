import type { AccountId } from '../../src/common/ids/index.js';
import type { EventLoop } from './eventLoop.js';
import type { FakeNetwork } from './fakeNetwork.js';
import type { FleetDaemon } from './fleetDaemon.js';
import type { FleetLease } from './fleetLease.js';

/** Stands for control in the fake network. */
const CONTROL_INDEX = -1;

/** How the fake control counts leases and how long it takes to decide. */
export interface FleetTerms {
  /** Length of a daemon lease, by its holder's clock. */
  readonly leaseMs: number;
  readonly renewalMs: number;
  /** From a release or the end of a lease until the next holder is assigned. */
  readonly decisionMs: number;
}

/** Who holds an account, under which lease. */
export interface FleetAssignment {
  readonly daemon: FleetDaemon;
  readonly lease: FleetLease;
}

interface ControlledAccount {
  assignment: FleetAssignment | undefined;
  successor: FleetDaemon | undefined;
  tellDelayMs: number;
  /** From when the holder is told to give the account up. */
  drainFromMs: number;
  /** When the last holder gave it up or lost its lease. */
  freeFromMs: number;
}

/** Told what control decided. */
export abstract class ControlObserver {
  abstract assigned(account: AccountId, assignment: FleetAssignment, tellDelayMs: number): void;
  abstract freed(account: AccountId, tellDelayMs: number): void;
  /** Repeated until the holder gives the account up or loses its lease. */
  abstract drained(account: AccountId, assignment: FleetAssignment): void;
}

/** The daemon leases and account holders of the fake fleet. */
export class FleetControl {
  private readonly accounts = new Map<AccountId, ControlledAccount>();

  constructor(
    private readonly loop: EventLoop,
    private readonly network: FakeNetwork,
    private readonly daemons: readonly FleetDaemon[],
    private readonly terms: FleetTerms,
    private readonly observer: ControlObserver,
  ) {
    this.renewAll();
    loop.every(terms.renewalMs, () => this.renewAll());
  }

  /** Who holds an account; undefined while it moves. */
  getAssignment(account: AccountId): FleetAssignment | undefined {
    return this.accounts.get(account)?.assignment;
  }

  /** Assigns an account that never had a holder. */
  assignFirst(account: AccountId, daemon: FleetDaemon): void {
    const state: ControlledAccount = {
      assignment: undefined,
      successor: daemon,
      tellDelayMs: 0,
      drainFromMs: 0,
      freeFromMs: this.loop.nowMs,
    };
    this.accounts.set(account, state);
    this.assign(account, state);
  }

  /** Has the holder give the account up to another daemon; `tellDelayMs` delays all news of it. */
  move(account: AccountId, successor: FleetDaemon, tellDelayMs: number): void {
    const state = this.accounts.get(account);
    if (state !== undefined && state.assignment?.daemon !== successor) {
      Object.assign(state, { successor, tellDelayMs });
      state.drainFromMs = this.loop.nowMs + tellDelayMs;
    }
  }

  /** Takes in that the holder gave the account up under its present lease. */
  release(account: AccountId): void {
    const state = this.accounts.get(account);
    if (state !== undefined) {
      this.free(account, state);
    }
  }

  /** Ends leases that ran out and decides on accounts; call it every few milliseconds. */
  tick(): void {
    const { nowMs } = this.loop;
    for (const [account, state] of this.accounts) {
      const { assignment } = state;
      if (assignment?.lease.isOver(nowMs) === true) {
        this.free(account, state);
      } else if (assignment !== undefined && state.successor !== undefined) {
        this.drain(account, state, assignment);
      }
      const isFree = state.assignment === undefined;
      if (isFree && nowMs >= state.freeFromMs + this.terms.decisionMs) {
        this.assign(account, state);
      }
    }
  }

  private renewAll(): void {
    const { nowMs } = this.loop;
    for (const daemon of this.daemons) {
      if (this.isReachable(daemon)) {
        daemon.renewLease(this.terms.leaseMs, nowMs);
      }
    }
  }

  private drain(account: AccountId, state: ControlledAccount, assignment: FleetAssignment): void {
    const { daemon, lease } = assignment;
    const isDue = this.loop.nowMs >= state.drainFromMs;
    if (isDue && this.isReachable(daemon) && daemon.lease === lease) {
      this.observer.drained(account, assignment);
    }
  }

  private free(account: AccountId, state: ControlledAccount): void {
    state.assignment = undefined;
    state.freeFromMs = this.loop.nowMs;
    this.observer.freed(account, state.tellDelayMs);
  }

  private assign(account: AccountId, state: ControlledAccount): void {
    const usable = this.daemons.filter((daemon) => this.isUsable(daemon));
    const wanted = usable.find((daemon) => daemon === state.successor);
    const daemon = wanted ?? usable[this.loop.nowMs % usable.length] ?? usable[0];
    if (daemon?.lease === undefined) {
      return;
    }
    state.assignment = { daemon, lease: daemon.lease };
    state.successor = undefined;
    this.observer.assigned(account, state.assignment, state.tellDelayMs);
    state.tellDelayMs = 0;
  }

  private isUsable(daemon: FleetDaemon): boolean {
    return daemon.isRunning && daemon.lease?.isOver(this.loop.nowMs) === false;
  }

  private isReachable(daemon: FleetDaemon): boolean {
    const isAwake = daemon.isRunning && daemon.pausedUntilMs <= this.loop.nowMs;
    return isAwake && this.network.isConnected(daemon.index, CONTROL_INDEX);
  }
}
