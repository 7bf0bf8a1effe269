/** The size of a fleet whose placement is measured. */
export interface FleetSize {
  readonly name: string;
  readonly daemons: number;
  readonly domains: number;
  readonly groups: number;
  /** Hosts lost one after the other. */
  readonly hostsLost: number;
}

/** Today's size, a busy small one, and the one expected within two years. */
export const FLEET_SIZES: readonly FleetSize[] = [
  { name: 'today', daemons: 8, domains: 4, groups: 3, hostsLost: 8 },
  { name: 'small, many groups', daemons: 8, domains: 4, groups: 48, hostsLost: 8 },
  { name: 'two years', daemons: 2200, domains: 12, groups: 13_000, hostsLost: 32 },
];
