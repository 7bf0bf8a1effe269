import fc from 'fast-check';
import { Role } from '../../../src/decisions/consensus/index.js';
import type { SimulatedHost } from './simulatedHost.js';
import type { Simulation } from './simulation.js';

/** What may happen to a simulation. */
export enum FaultKind {
  Crash = 'crash',
  Restart = 'restart',
  LoseDisk = 'lose-disk',
  Isolate = 'isolate',
  CutLink = 'cut-link',
  CutPair = 'cut-pair',
  Heal = 'heal',
  Pause = 'pause',
  Resume = 'resume',
  Transfer = 'transfer',
}

/** One event of a fault schedule; `host` and `other` are taken modulo the number of hosts. */
export interface FaultAction {
  readonly afterMs: number;
  /** No proposals and reads before the event. */
  readonly isIdle: boolean;
  readonly kind: FaultKind;
  readonly host: number;
  readonly other: number;
  /** Aim at the leader instead of the numbered host. */
  readonly atLeader: boolean;
}

/** Schedules of faults. */
export const faultSchedule = fc.array(
  fc.record<FaultAction>({
    afterMs: fc.integer({ min: 0, max: 700 }),
    isIdle: fc.boolean(),
    kind: fc.constantFrom(...Object.values(FaultKind)),
    host: fc.nat({ max: 9 }),
    other: fc.nat({ max: 9 }),
    atLeader: fc.boolean(),
  }),
  { minLength: 5, maxLength: 25 },
);

const STEP_MS = 20;

/** Runs a schedule under load, with a proposal and a read at each host in every step. */
export function runSchedule(simulation: Simulation, schedule: readonly FaultAction[]): void {
  runUnderLoad(simulation, 600);
  for (const action of schedule) {
    if (action.isIdle) {
      simulation.run(action.afterMs);
    } else {
      runUnderLoad(simulation, action.afterMs);
    }
    applyFault(simulation, action);
  }
  runUnderLoad(simulation, 600);
}

/** Runs for a time with proposals and reads. */
export function runUnderLoad(simulation: Simulation, durationMs: number): void {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
    simulation.run(Math.min(STEP_MS, durationMs - elapsedMs));
    simulation.propose();
    for (const host of simulation.hosts) {
      if (host.member?.role === Role.Leader) {
        simulation.read(host);
      }
    }
  }
}

/** Lets one fault happen. */
export function applyFault(simulation: Simulation, action: FaultAction): void {
  const { hosts, network } = simulation;
  const host = getTarget(simulation, action);
  const other = action.other % hosts.length;
  switch (action.kind) {
    case FaultKind.Crash:
      simulation.crash(host);
      break;
    case FaultKind.Restart:
      simulation.crash(host);
      simulation.start(host);
      break;
    case FaultKind.LoseDisk:
      if (simulation.isMembershipSettled) {
        simulation.loseDisk(host);
        simulation.start(host);
      }
      break;
    case FaultKind.Isolate:
      network.isolate(host.number, hosts.length);
      break;
    case FaultKind.CutLink:
      network.cutLink(host.number, other);
      break;
    case FaultKind.CutPair:
      network.cutLink(host.number, other);
      network.cutLink(other, host.number);
      break;
    case FaultKind.Heal:
      network.heal();
      hosts.forEach((down) => simulation.start(down));
      break;
    case FaultKind.Pause:
      simulation.pause(host);
      break;
    case FaultKind.Resume:
      hosts.forEach((paused) => simulation.resume(paused));
      break;
    case FaultKind.Transfer:
      simulation.transfer(host);
      break;
  }
}

function getTarget(simulation: Simulation, action: FaultAction): SimulatedHost {
  const numbered = simulation.hosts[action.host % simulation.hosts.length];
  const target = (action.atLeader ? simulation.leader : undefined) ?? numbered;
  if (target === undefined) {
    throw new Error('a simulation has hosts');
  }
  return target;
}
