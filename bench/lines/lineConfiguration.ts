import type { LinePlan } from './linePlan.js';

/** What a configuration for tests holds besides the plan's groups. */
export interface LineConfigurationOptions {
  readonly version: number;
  /** Keys of each client account. */
  readonly accounts: Readonly<Record<string, readonly string[]>>;
  readonly rate?: number;
  readonly burst?: number;
  /** Rate and burst of accounts that have others, in requests (a second). */
  readonly rates?: Readonly<Record<string, number>>;
  readonly timeoutMs?: number;
}

/** Names of the databases that callers ask for, by the consistency of their reads. */
export const DATABASES = {
  latest: 'latest',
  bounded: 'bounded',
  session: 'session',
  open: 'open',
} as const;

/** Staleness of the bounded databases, in milliseconds. */
export const STALENESS_MS = 1500;

/** Creates a configuration as the platform's operators send it: four databases for each group. */
export function createLineConfiguration(plan: LinePlan, options: LineConfigurationOptions): string {
  const { version, accounts, rate = 1000, burst = 1000, rates = {}, timeoutMs = 2000 } = options;
  const services = [...new Set(plan.instances.map(({ service }) => service))];
  const routes = services.flatMap((service) => {
    const shared = {
      prefix: '/',
      timeoutMs,
      targetLatencyMs: 200,
      priority: 1,
      service,
      attempts: 2,
    };
    const create = (name: string, kind: string, fields: object) => ({
      ...{ name: `r-${name}-${service}`, host: `${name}-${service}`, kind },
      ...shared,
      ...fields,
    });
    return [
      create(DATABASES.latest, 'primary', { public: false }),
      create(DATABASES.bounded, 'bounded', { maxStalenessMs: STALENESS_MS, public: false }),
      create(DATABASES.session, 'read_your_writes', {
        maxStalenessMs: STALENESS_MS,
        public: false,
      }),
      create(DATABASES.open, 'primary', { public: true }),
    ];
  });
  return JSON.stringify({
    version,
    routes,
    services: services.map((name) => ({
      name,
      healthPath: '/healthz',
      maxConns: 16,
      syncReplicas: 1,
    })),
    limits: { txIdleMs: 1000 },
    tenants: Object.entries(accounts).map(([name, apiKeys]) => ({
      ...{ name, apiKeys, priority: 1 },
      ...{ ratePerS: rates[name] ?? rate, burst: rates[name] ?? burst },
    })),
  });
}
