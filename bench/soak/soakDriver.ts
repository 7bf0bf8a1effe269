import { assertInvariant } from '../../src/common/diagnostics/index.js';
import {
  toAccountId,
  toFailureDomain,
  toHostId,
  type AccountId,
} from '../../src/common/ids/index.js';
import type { AccountLimit } from '../../src/decisions/limits/index.js';
import { SubjectKind, type SubjectState, type Ticket } from '../../src/decisions/tickets/index.js';
import type { SimulatedHost } from '../../tests/support/consensus/simulatedHost.js';
import { FaultDriver, type FakeFleet } from '../../tests/support/fleet/index.js';
import type { QuorumControl } from './quorumControl.js';
import { isFleetFault, SoakKind, type SoakStep } from './soakStep.js';

const CLIENT = 'client';
const ACCOUNTS = 6;
const BURST_TICKETS = 40;
const RACERS = 3;
const SLOW_FAULTS = { loss: 0.1, duplication: 0.1, lateness: 0.5 };

/** Brings the steps of a schedule about. */
export class SoakDriver {
  private readonly faults: FaultDriver;
  private readonly submitted: Ticket[] = [];

  constructor(
    private readonly fleet: FakeFleet,
    private readonly control: QuorumControl,
  ) {
    this.faults = new FaultDriver(fleet);
  }

  run(steps: readonly SoakStep[]): void {
    for (const step of steps) {
      this.faults.advance(step.afterMs);
      if (isFleetFault(step)) {
        this.faults.bring(step);
      } else {
        this.faults.recoverLater(this.bring(step), step.durationMs);
      }
    }
    this.faults.endFaults();
  }

  /** Puts everything back in service. */
  restoreService(): void {
    this.faults.restoreService();
    this.submitMembers();
  }

  /** Creates a client account that no step changes. */
  submitAccount(account: AccountId, limit: AccountLimit): void {
    const number = this.faults.nextTicketNumber();
    this.submit({ number, subjects: [createAccount(account, limit)] });
  }

  private bring(step: SoakStep): (() => void) | undefined {
    switch (step.kind) {
      case SoakKind.CrashControl:
      case SoakKind.LoseControlDisk:
      case SoakKind.PauseControl:
      case SoakKind.TransferControl:
        return this.harmHost(step, this.getHost(step));
      case SoakKind.IsolateControl:
      case SoakKind.CutControlOneWay:
        return this.cutHost(step, this.getHost(step));
      case SoakKind.CutDaemonOneWay:
      case SoakKind.CutInstanceOneWay:
      case SoakKind.CutAnswers:
        return this.cutLink(step);
      case SoakKind.SlowNetwork:
        return this.slowNetwork();
      case SoakKind.RestartAll:
        return this.restartAll();
      default:
        this.submitTickets(step);
        return undefined;
    }
  }

  /** Half of the faults aim at the leader. */
  private getHost({ target, other }: SoakStep): SimulatedHost {
    const { leader, hosts } = this.control.simulation;
    const chosen = other % 2 === 0 ? leader : undefined;
    const host = chosen ?? hosts[target % hosts.length];
    assertInvariant(host !== undefined, 'the quorum has hosts');
    return host;
  }

  private harmHost(step: SoakStep, host: SimulatedHost): (() => void) | undefined {
    const { simulation } = this.control;
    if (step.kind === SoakKind.TransferControl) {
      simulation.transfer(host);
      return undefined;
    }
    if (step.kind === SoakKind.PauseControl) {
      simulation.pause(host);
      return () => simulation.resume(host);
    }
    if (step.kind === SoakKind.CrashControl) {
      simulation.crash(host);
      return () => simulation.start(host);
    }
    if (simulation.isMembershipSettled) {
      simulation.loseDisk(host);
      simulation.start(host);
      this.submitMembers();
    }
    return undefined;
  }

  private cutHost(step: SoakStep, host: SimulatedHost): () => void {
    const { hosts, network } = this.control.simulation;
    if (step.kind === SoakKind.CutControlOneWay) {
      network.cutLink(host.number, step.target % hosts.length);
    } else {
      network.isolate(host.number, hosts.length);
      this.fleet.network.separate(`c${host.number}`, 1);
    }
    return () => this.healNetworks();
  }

  private cutLink(step: SoakStep): () => void {
    const { daemons, instances, network } = this.fleet;
    const daemon = daemons[step.target % daemons.length]?.host ?? '';
    const instance = [...instances.keys()][step.other % instances.size] ?? '';
    for (const { number } of this.control.simulation.hosts) {
      if (step.kind === SoakKind.CutAnswers) {
        network.cutOneWay(`c${number}`, CLIENT);
      } else if (step.kind === SoakKind.CutDaemonOneWay) {
        const [from, to] = step.other % 2 === 0 ? [daemon, `c${number}`] : [`c${number}`, daemon];
        network.cutOneWay(from, to);
      } else {
        network.cutOneWay(daemon, instance);
      }
    }
    return () => this.healNetworks();
  }

  private slowNetwork(): () => void {
    const { network } = this.fleet;
    network.faults = SLOW_FAULTS;
    return () => (network.faults = this.fleet.options.network);
  }

  private healNetworks(): void {
    this.fleet.network.heal();
    this.control.simulation.network.heal();
  }

  private restartAll(): () => void {
    const { simulation } = this.control;
    simulation.hosts.forEach((host) => simulation.crash(host));
    this.fleet.daemons.forEach((daemon) => daemon.kill());
    return () => {
      simulation.hosts.forEach((host) => simulation.start(host));
      this.fleet.daemons.forEach((daemon) => daemon.restart());
    };
  }

  private submitTickets(step: SoakStep): void {
    if (step.kind === SoakKind.TicketAgain) {
      const ticket = this.submitted[step.target % Math.max(1, this.submitted.length)];
      if (ticket !== undefined) {
        this.control.submit(ticket);
      }
    } else if (step.kind === SoakKind.TicketRace) {
      const number = this.faults.nextTicketNumber();
      for (let racer = 0; racer < RACERS; racer++) {
        const rate = 1 + ((step.other + racer) % RACERS);
        this.submit({ number, subjects: [createNumbered(step.target, rate)] });
      }
    } else {
      for (let count = 0; count < BURST_TICKETS; count++) {
        const number = this.faults.nextTicketNumber();
        this.submit({ number, subjects: [createNumbered(step.target + count, 1 + count)] });
      }
    }
  }

  private submitMembers(): void {
    const members = this.control.simulation.hosts.map((host) => {
      const domain = toFailureDomain(`d${host.number}`);
      const address = `127.0.0.1:${host.number + 1}`;
      return { member: host.identity, host: toHostId(`c${host.number}`), domain, address };
    });
    const number = this.faults.nextTicketNumber();
    this.submit({ number, subjects: [{ kind: SubjectKind.ControlMembers, members }] });
  }

  private submit(ticket: Ticket): void {
    this.submitted.push(ticket);
    this.control.submit(ticket);
  }
}

function createNumbered(index: number, rate: number): SubjectState {
  return createAccount(toAccountId(`a${index % ACCOUNTS}`), { rate, burst: 10 });
}

function createAccount(account: AccountId, limit: AccountLimit): SubjectState {
  return {
    kind: SubjectKind.Account,
    account,
    ...limit,
    ...{ salt: 'c2FsdA==', iterations: 4096, keys: [], maximumOpenTransactions: 1 },
  };
}
