/** A replica as the bench models it. */
export interface ModelReplica {
  readonly domain: string;
  readonly slots: number;
  /** Mean service time, in milliseconds. */
  readonly serviceMs: number;
  /** Round trip between it and the holder, in milliseconds. */
  readonly roundTripMs: number;
  /** While it is slow, its service times are this many times longer. */
  readonly slowFactor: number;
}

/** Replicas and the reads that come to their holder. */
export interface Scenario {
  readonly name: string;
  readonly replicas: readonly ModelReplica[];
  readonly readsPerSecond: number;
  /** Time during which slow replicas are slow, in milliseconds. */
  readonly slowFromMs: number;
  readonly slowUntilMs: number;
}

/** The failure domain of the holder. */
export const HOLDER_DOMAIN = 'near';
/** Length of a run, in milliseconds. */
export const RUN_MS = 20_000;

const SERVICE_MS = 10;
const SLOTS = 2;
const LOCAL: ModelReplica = {
  domain: HOLDER_DOMAIN,
  slots: SLOTS,
  serviceMs: SERVICE_MS,
  roundTripMs: 0.2,
  slowFactor: 1,
};
const REMOTE: ModelReplica = { ...LOCAL, domain: 'far', roundTripMs: 3.2 };
const WHOLE_RUN = { slowFromMs: 0, slowUntilMs: RUN_MS };

/** The scenarios that are compared; the sizes are those of Kilimajiwe's groups. */
export const SCENARIOS: readonly Scenario[] = [
  { name: 'even, 30% load', replicas: [LOCAL, REMOTE], readsPerSecond: 120, ...WHOLE_RUN },
  { name: 'even, 80% load', replicas: [LOCAL, REMOTE], readsPerSecond: 320, ...WHOLE_RUN },
  {
    name: 'near one 4 times slower',
    replicas: [{ ...LOCAL, slowFactor: 4 }, REMOTE],
    readsPerSecond: 150,
    ...WHOLE_RUN,
  },
  {
    name: 'far one slow for 2 s',
    replicas: [LOCAL, { ...REMOTE, slowFactor: 10 }],
    readsPerSecond: 150,
    slowFromMs: 8000,
    slowUntilMs: 10_000,
  },
  {
    name: '4 replicas, one 4 times slower',
    replicas: [LOCAL, REMOTE, REMOTE, { ...REMOTE, slowFactor: 4 }],
    readsPerSecond: 400,
    ...WHOLE_RUN,
  },
];
