import * as fc from 'fast-check';
import {
  toAccountId,
  toFailureDomain,
  toTicketNumber,
  type FailureDomain,
  type TicketNumber,
} from '../../../src/common/ids/index.js';
import { SubjectKind, type SubjectState } from '../../../src/decisions/tickets/index.js';
import type { FakeFleet } from './fakeFleet.js';

/** Tells the faults of a fake fleet apart. */
export enum FaultKind {
  KillDaemon = 'kill-daemon',
  StopDaemon = 'stop-daemon',
  PauseDaemon = 'pause-daemon',
  StuckDaemon = 'stuck-daemon',
  KillInstance = 'kill-instance',
  KillPrimary = 'kill-primary',
  KillHolderAndPrimary = 'kill-holder-and-primary',
  PauseHolder = 'pause-holder',
  SeparateNodes = 'separate-nodes',
  SeparateHolderAndPrimary = 'separate-holder-and-primary',
  SlowReplica = 'slow-replica',
  NewLeader = 'new-leader',
  DomainOut = 'domain-out',
  DomainBack = 'domain-back',
  Leaving = 'leaving',
  Account = 'account',
}

/** One fault: when, what, to whom, for how long. */
export interface FleetFault {
  readonly kind: FaultKind;
  readonly afterMs: number;
  readonly target: number;
  readonly durationMs: number;
}

/** Generates faults, in the order in which they are brought about. */
export const fleetFaults: fc.Arbitrary<FleetFault[]> = fc.array(
  fc.record({
    kind: fc.constantFrom(...Object.values(FaultKind)),
    afterMs: fc.integer({ min: 0, max: 2500 }),
    target: fc.nat(100),
    durationMs: fc.integer({ min: 50, max: 6000 }),
  }),
  { minLength: 1, maxLength: 12 },
);

interface Recovery {
  readonly atMs: number;
  readonly recover: () => void;
}

/** Brings faults about in a fake fleet and ends each after its time. */
export class FaultDriver {
  private recoveries: Recovery[] = [];
  private ticketNumber = 0;

  constructor(private readonly fleet: FakeFleet) {}

  run(faults: readonly FleetFault[]): void {
    for (const fault of faults) {
      this.advance(fault.afterMs);
      this.bring(fault);
    }
    this.endFaults();
  }

  /** Puts every failure domain and backend server back in service. */
  restoreService(): void {
    const states: SubjectState[] = this.getDomains().map((domain) => {
      return { kind: SubjectKind.FailureDomain, domain, inService: true };
    });
    for (const { group, instance } of this.fleet.instances.values()) {
      states.push({ kind: SubjectKind.BackendServer, group, instance, leaving: false });
    }
    this.submit(...states);
  }

  /** Runs for a time, in which faults end. */
  advance(durationMs: number): void {
    const endMs = this.fleet.nowMs + durationMs;
    while (this.fleet.nowMs < endMs) {
      this.fleet.run(10);
      const due = this.recoveries.filter((each) => each.atMs <= this.fleet.nowMs);
      this.recoveries = this.recoveries.filter((each) => each.atMs > this.fleet.nowMs);
      for (const { recover } of due) {
        recover();
      }
    }
  }

  /** Brings one fault about; it ends after its time. */
  bring(fault: FleetFault): void {
    this.recoverLater(this.apply(fault), fault.durationMs);
  }

  /** Has a fault end after a time. */
  recoverLater(recover: (() => void) | undefined, durationMs: number): void {
    if (recover !== undefined) {
      this.recoveries.push({ atMs: this.fleet.nowMs + durationMs, recover });
    }
  }

  /** Runs until every fault has ended. */
  endFaults(): void {
    while (this.recoveries.length > 0) {
      this.advance(500);
    }
  }

  /** A ticket number above those used so far. */
  nextTicketNumber(): TicketNumber {
    this.ticketNumber++;
    return toTicketNumber(this.ticketNumber);
  }

  private apply(fault: FleetFault): (() => void) | undefined {
    switch (fault.kind) {
      case FaultKind.KillDaemon:
      case FaultKind.StopDaemon:
      case FaultKind.PauseDaemon:
      case FaultKind.StuckDaemon:
        return this.harmDaemon(fault);
      case FaultKind.KillInstance:
      case FaultKind.SlowReplica:
        return this.harmInstance(fault);
      case FaultKind.KillPrimary:
      case FaultKind.KillHolderAndPrimary:
      case FaultKind.PauseHolder:
      case FaultKind.SeparateHolderAndPrimary:
        return this.harmGroup(fault);
      case FaultKind.SeparateNodes:
        return this.separateNodes(fault);
      case FaultKind.NewLeader:
        this.fleet.control.isolateLeader(600 + (fault.durationMs % 1000));
        return undefined;
      default:
        this.submitTicket(fault);
        return undefined;
    }
  }

  private harmDaemon(fault: FleetFault): (() => void) | undefined {
    const daemon = at(this.fleet.daemons, fault.target);
    if (fault.kind === FaultKind.PauseDaemon) {
      daemon.pausedUntilMs = this.fleet.nowMs + fault.durationMs;
      return undefined;
    }
    if (fault.kind === FaultKind.StuckDaemon) {
      daemon.stuckUntilMs = this.fleet.nowMs + fault.durationMs;
      return undefined;
    }
    if (fault.kind === FaultKind.StopDaemon) {
      daemon.isStopping = true;
      return () => daemon.restart();
    }
    daemon.kill();
    return () => daemon.restart();
  }

  private harmInstance(fault: FleetFault): () => void {
    const instance = at([...this.fleet.instances.values()], fault.target);
    if (fault.kind === FaultKind.SlowReplica) {
      instance.copyRate = 0;
      return () => (instance.copyRate = 1000);
    }
    instance.isAlive = false;
    return () => (instance.isAlive = true);
  }

  private harmGroup(fault: FleetFault): (() => void) | undefined {
    const group = at(this.fleet.groups, fault.target);
    const { truth } = this.fleet.control;
    if (truth.getPrimary(group) === undefined || !truth.getGroupAssignment(group)?.holder) {
      return undefined;
    }
    const primary = this.fleet.getPrimary(group);
    const holder = this.fleet.getHolder(group);
    if (fault.kind === FaultKind.PauseHolder) {
      holder.pausedUntilMs = this.fleet.nowMs + fault.durationMs;
      return undefined;
    }
    if (fault.kind === FaultKind.SeparateHolderAndPrimary) {
      this.fleet.network.separate(holder.host, 1);
      this.fleet.network.separate(primary.instance, 1);
      return () => this.fleet.network.heal();
    }
    primary.isAlive = false;
    if (fault.kind === FaultKind.KillPrimary) {
      return () => (primary.isAlive = true);
    }
    holder.kill();
    return () => {
      primary.isAlive = true;
      holder.restart();
    };
  }

  private separateNodes(fault: FleetFault): () => void {
    for (const name of [...this.fleet.daemons.map((each) => each.host as string)].concat([
      ...this.fleet.instances.keys(),
    ])) {
      if (this.fleet.random.next() < 0.3) {
        this.fleet.network.separate(name, 1 + (fault.target % 2));
      }
    }
    return () => this.fleet.network.heal();
  }

  private submitTicket(fault: FleetFault): void {
    const domain = at(this.getDomains(), fault.target);
    const { group, instance } = at([...this.fleet.instances.values()], fault.target);
    if (fault.kind === FaultKind.Leaving) {
      const leaving = fault.durationMs % 2 === 0;
      this.submit({ kind: SubjectKind.BackendServer, group, instance, leaving });
    } else if (fault.kind === FaultKind.Account) {
      this.submit(createAccount(fault.target % 5));
    } else {
      const inService = fault.kind === FaultKind.DomainBack;
      this.submit({ kind: SubjectKind.FailureDomain, domain, inService });
    }
  }

  private submit(...subjects: SubjectState[]): void {
    this.fleet.submit({ number: this.nextTicketNumber(), subjects });
  }

  private getDomains(): FailureDomain[] {
    const { domains } = this.fleet.options;
    return Array.from({ length: domains }, (_, index) => toFailureDomain(`d${index}`));
  }
}

function createAccount(index: number): SubjectState {
  return {
    kind: SubjectKind.Account,
    account: toAccountId(`a${index}`),
    ...{ rate: 10, burst: 10, salt: 'c2FsdA==', iterations: 4096, keys: [] },
    maximumOpenTransactions: 1,
  };
}

function at<Item>(items: readonly Item[], index: number): Item {
  return items[index % items.length] as Item;
}
