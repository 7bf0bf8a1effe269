import type { InstanceRole } from '../../src/decisions/control/index.js';
import type { TermStart } from '../log/index.js';
import type { StandinSettings } from '../settings/index.js';
import type { PostgresServer } from '../wire/index.js';
import type { Engine } from './engine.js';
import type { Gauge } from './gauge.js';
import type { SlotGate } from './slotGate.js';
import type { StatementRunner } from './statementRunner.js';

/** A present count, its highest value ever, and its bound. */
export interface Usage {
  readonly now: number;
  readonly maximum: number;
  readonly limit: number;
}

/** What an instance tells tests of itself. */
export interface InstanceStatus {
  readonly instance: string;
  readonly role: InstanceRole;
  readonly isServing: boolean;
  readonly term: number;
  readonly highestTerm: number;
  readonly position: number;
  readonly history: readonly TermStart[];
  readonly records: number;
  readonly connections: Usage & { readonly refused: number };
  /** Statements that hold a slot. */
  readonly executing: Usage & { readonly queued: number };
  /** Statements received and not yet answered, with those that wait for a slot or a lock. */
  readonly active: Usage;
  readonly executed: number;
}

/** The parts that a status is read from. */
export interface StatusSources {
  readonly engine: Engine;
  readonly settings: StandinSettings;
  readonly slots: SlotGate;
  readonly runner: StatementRunner;
  readonly postgres: PostgresServer;
  readonly role: InstanceRole;
  readonly isServing: boolean;
}

/** Reads the present status. */
export function createInstanceStatus(sources: StatusSources): InstanceStatus {
  const { settings, slots, runner, postgres, role, isServing } = sources;
  const { log } = sources.engine;
  return {
    instance: settings.instance,
    role,
    isServing,
    term: log.term,
    highestTerm: log.highestTerm,
    position: log.position,
    history: log.history,
    records: log.records.length,
    connections: {
      ...getUsage(postgres.connections, settings.connection_limit),
      refused: postgres.refusedCount,
    },
    executing: { ...getUsage(slots.executing, settings.slots), queued: slots.queued },
    active: getUsage(runner.active, settings.slots),
    executed: runner.executedCount,
  };
}

function getUsage({ value, maximum }: Gauge, limit: number): Usage {
  return { now: value, maximum, limit };
}
