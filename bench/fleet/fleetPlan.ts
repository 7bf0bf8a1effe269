import type { DaemonFiles } from '../../src/daemon/daemonFiles.js';

/** A daemon of a local fleet. */
export interface PlannedDaemon {
  readonly host: string;
  readonly domain: string;
  readonly ip: string;
  readonly roles: readonly ('entry' | 'control')[];
}

/** A backend server of a local fleet. */
export interface PlannedInstance {
  readonly group: string;
  readonly instance: string;
  readonly domain: string;
  readonly ip: string;
  readonly isPrimary: boolean;
}

/** What a local fleet consists of. */
export interface FleetPlan {
  readonly daemons: readonly PlannedDaemon[];
  readonly instances: readonly PlannedInstance[];
  /** Slots, connections and lag of each instance. */
  readonly slots: number;
  readonly connectionLimit: number;
  readonly lagMs: number;
  readonly statementMs: number;
  readonly openingMs: number;
  /** Key material in place of none. */
  readonly files?: Partial<DaemonFiles>;
}

const DOMAINS = ['mekelle', 'adigrat', 'wukro'] as const;

/** Plans control and entry hosts and groups of three instances over three failure domains. */
export function createFleetPlan(sizes: {
  readonly controls: number;
  readonly entries: number;
  readonly groups: number;
}): FleetPlan {
  const control = plan(sizes.controls, (index) => ({
    host: `control-${index + 1}`,
    domain: getDomain(index),
    ip: `127.0.1.${index + 1}`,
    roles: ['control'] as const,
  }));
  const entry = plan(sizes.entries, (index) => ({
    host: `entry-${index + 1}`,
    domain: getDomain(index),
    ip: `127.0.0.${index + 10}`,
    roles: ['entry'] as const,
  }));
  const instances = plan(sizes.groups, planGroup).flat();
  const timing = { slots: 5, connectionLimit: 50, lagMs: 5, statementMs: 0, openingMs: 0 };
  return { daemons: [...control, ...entry], instances, ...timing };
}

function planGroup(index: number): readonly PlannedInstance[] {
  const group = `ledger-${index + 1}`;
  return ['a', 'b', 'c'].map((suffix, place) => ({
    group,
    instance: `${group}-${suffix}`,
    domain: getDomain(place + index),
    ip: `127.0.2.${index * 3 + place + 1}`,
    isPrimary: place === 0,
  }));
}

function plan<Item>(count: number, create: (index: number) => Item): Item[] {
  return Array.from({ length: count }, (_unused, index) => create(index));
}

function getDomain(index: number): string {
  return DOMAINS[index % DOMAINS.length] ?? DOMAINS[0];
}
