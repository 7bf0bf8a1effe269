import { assertInvariant } from '../../src/common/diagnostics/index.js';
import { toAccountId } from '../../src/common/ids/index.js';
import { RateBucket, type RateBucketOptions } from '../../src/decisions/limits/index.js';
import { ConsensusRules } from '../../src/decisions/consensus/index.js';
import { CommandKind, PrimaryPhase } from '../../src/decisions/control/index.js';
import {
  DEFAULT_FLEET_OPTIONS,
  FakeFleet,
  type FleetOptions,
} from '../../tests/support/fleet/index.js';
import { AccountRates, type BucketFactory } from './accountRates.js';
import { QuorumControl } from './quorumControl.js';
import { SessionClients } from './sessionClients.js';
import { SoakDriver } from './soakDriver.js';
import type { SoakTrace } from './soakTrace.js';

const BUSY_ACCOUNT = toAccountId('busy');
const BUSY_LIMIT = { rate: 20, burst: 10 };
const START_MS = 2500;
const RECOVERY_MS = 15_000;
const WRITE_BOUND_MS = 1000;
const SOUND_FAULTS = { loss: 0, duplication: 0, lateness: 0 };
const POOR_FAULTS = { loss: 0.03, duplication: 0.03, lateness: 0.02 };

/** What a run replaces, to show that the checks find broken rules. */
export interface SoakVariant extends Partial<FleetOptions> {
  readonly rules?: ConsensusRules;
  readonly createBucket?: BucketFactory;
}

/** What a run did. */
export interface SoakOutcome {
  readonly virtualMs: number;
  readonly acknowledgedWrites: number;
  readonly reads: number;
  readonly refusedReads: number;
  readonly acceptedTickets: number;
  readonly refusedTickets: number;
  readonly readBacks: number;
  readonly admissions: number;
  readonly leaderships: number;
  readonly snapshotRestores: number;
  readonly lostDisks: number;
  readonly promotions: number;
  readonly plannedMoves: number;
  readonly retiredLeases: number;
}

/** Runs a schedule through the whole core; throws when an invariant does not hold. */
export function runTrace(trace: SoakTrace, variant: SoakVariant = {}): SoakOutcome {
  const { seed, daemons, groups, isPoor, controlHosts } = trace;
  const { rules = new ConsensusRules(), createBucket = createProductBucket, ...options } = variant;
  const controls: QuorumControl[] = [];
  const fleet = new FakeFleet({
    ...DEFAULT_FLEET_OPTIONS,
    ...{ seed, daemons, groups, network: isPoor ? POOR_FAULTS : SOUND_FAULTS },
    createControl: (owner) => {
      const control = new QuorumControl(owner, controlHosts, isPoor, rules);
      controls.push(control);
      return control;
    },
    ...options,
  });
  const [control] = controls;
  assertInvariant(control !== undefined, 'the fleet has a control quorum');
  const rates = new AccountRates(fleet, BUSY_ACCOUNT, createBucket);
  const sessions = new SessionClients(fleet, rates);
  fleet.observer = sessions;
  fleet.run(START_MS);
  const driver = new SoakDriver(fleet, control);
  driver.submitAccount(BUSY_ACCOUNT, BUSY_LIMIT);
  driver.run(trace.steps);
  heal(fleet, control);
  driver.restoreService();
  fleet.run(RECOVERY_MS);
  checkRecovered(fleet, control);
  rates.check(BUSY_LIMIT);
  return createOutcome(fleet, control, sessions, rates);
}

function createProductBucket(options: RateBucketOptions): RateBucket {
  return new RateBucket(options);
}

function heal(fleet: FakeFleet, control: QuorumControl): void {
  control.simulation.heal();
  fleet.network.heal();
  fleet.network.faults = SOUND_FAULTS;
}

function checkRecovered(fleet: FakeFleet, control: QuorumControl): void {
  const { tickets, simulation, truth } = control;
  assertInvariant(tickets.waitingCount === 0, 'every ticket is answered after healing');
  assertInvariant(simulation.isMembershipSettled, 'the members are those of the ticket');
  tickets.checkAccepted(truth, tickets.accepted.keys());
  for (const host of simulation.hosts) {
    tickets.checkAccepted(control.getSeat(host).state, tickets.accepted.keys());
  }
  for (const group of fleet.groups) {
    const isServing = truth.getPrimary(group)?.phase === PrimaryPhase.Serving;
    assertInvariant(isServing, 'every group has a serving primary after healing');
    const tookMs = fleet.runUntilWrite(group, WRITE_BOUND_MS);
    assertInvariant(tookMs < WRITE_BOUND_MS, 'writes flow on every group after healing');
  }
}

function createOutcome(
  fleet: FakeFleet,
  { tickets, simulation, log, leaderships, restores }: QuorumControl,
  sessions: SessionClients,
  rates: AccountRates,
): SoakOutcome {
  const writes = fleet.groups.reduce((sum, group) => sum + fleet.count(group), 0);
  return {
    virtualMs: fleet.nowMs,
    acknowledgedWrites: writes,
    reads: sessions.readCount,
    refusedReads: sessions.refusedCount,
    acceptedTickets: tickets.accepted.size,
    refusedTickets: tickets.refusedCount,
    readBacks: tickets.readBackCount,
    admissions: rates.admissions.length,
    leaderships,
    snapshotRestores: restores,
    lostDisks: simulation.hosts.reduce((sum, host) => sum + host.diskCount - 1, 0),
    promotions: log.changes.get(CommandKind.CompletePromotion) ?? 0,
    plannedMoves: log.changes.get(CommandKind.BeginMove) ?? 0,
    retiredLeases: log.changes.get(CommandKind.RetireLease) ?? 0,
  };
}
