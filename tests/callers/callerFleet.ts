import type pg from 'pg';
import { createFleetPlan, LocalFleet, type FleetPlan } from '../../bench/fleet/index.js';
import { InstanceRole } from '../../src/decisions/control/index.js';
import { RawClient } from '../../standin/testing/rawClient.js';

export const GROUP = 'ledger-1';
/** The two hosts of a fleet with one entry host: one holds the group, the other forwards to it. */
export const HOSTS = ['control-1', 'entry-1'] as const;
const OPEN_ROUTE = 'open-ledger';

/** A local fleet with accounts `mill` and `press`, and an open route of account `mill`. */
export class CallerFleet {
  readonly fleet: LocalFleet;
  keys: ReadonlyMap<string, string> = new Map();
  private readonly clients: pg.Client[] = [];

  constructor(
    entries = 2,
    private readonly changes: Partial<FleetPlan> = {},
  ) {
    const plan = createFleetPlan({ controls: 1, entries, groups: 1 });
    const daemons = plan.daemons.map((daemon) => ({
      ...daemon,
      roles: ['entry', ...daemon.roles.filter((role) => role !== 'entry')] as const,
    }));
    this.fleet = new LocalFleet({ ...plan, daemons, ...changes });
  }

  /** Starts everything and creates the table `bookings`. */
  async start(): Promise<void> {
    await this.fleet.start();
    this.keys = await this.fleet.openAccounts([
      { account: 'mill', rate: 100_000, burst: 10_000 },
      { account: 'press', rate: 100_000, burst: 10_000 },
    ]);
    await this.fleet.submit({ kind: 'route', route: OPEN_ROUTE, group: GROUP, openAs: 'mill' });
    await this.fleet.waitForGroup(GROUP);
    const tls = this.changes.files?.callerTls;
    const ssl = tls === undefined ? false : { rejectUnauthorized: false };
    const client = await this.connect('entry-1', 'mill', { ssl });
    await client.query('CREATE TABLE bookings (id int primary key, who text)');
  }

  async stop(): Promise<void> {
    await Promise.allSettled(this.clients.map((client) => client.end()));
    await this.fleet.stop();
  }

  /** Connects with the account's key. */
  async connect(
    host = 'entry-1',
    account = 'mill',
    options: Partial<pg.ClientConfig> = {},
  ): Promise<pg.Client> {
    const key = this.keys.get(account) ?? '';
    const client = await this.fleet.connect(host, account, key, GROUP, options);
    this.clients.push(client);
    return client;
  }

  /** Connects over the open route with a client that sends messages as they are given. */
  openRaw(host = 'entry-1'): Promise<RawClient> {
    const { plan, daemon } = this.fleet.getDaemon(host);
    const parameters = { user: 'anyone', database: OPEN_ROUTE };
    return RawClient.open(`${plan.ip}:${daemon.callerPort}`, parameters);
  }

  /** The host that holds the group. */
  async getHolder(): Promise<string | undefined> {
    const { body } = await this.fleet.http.get(this.fleet.operators, '/status');
    const { groups } = body as { groups: readonly { group: string; holder?: string }[] };
    return groups.find(({ group }) => group === GROUP)?.holder;
  }

  /** The instance that is primary at the start. */
  get primary() {
    return this.fleet.getInstance(`${GROUP}-a`).instance;
  }

  /** The instance that is primary of the highest term. */
  get latestPrimary() {
    const instances = this.fleet.instances.map(({ instance }) => instance);
    const primaries = instances.filter(({ role }) => role === InstanceRole.Primary);
    return primaries.reduce((best, each) => (each.term > best.term ? each : best));
  }

  /** The instances that are replicas at the start. */
  get replicas() {
    return ['b', 'c'].map((suffix) => this.fleet.getInstance(`${GROUP}-${suffix}`).instance);
  }

  /** How often a booking is in the log of the primary of the highest term. */
  countCommits(id: number): number {
    const changes = this.latestPrimary.records.flatMap((record) => record.changes);
    return changes.filter(({ kind, ...change }) => {
      const row = 'row' in change ? change.row : undefined;
      return kind === 'put' && row !== undefined && JSON.stringify(row).includes(`[${id},`);
    }).length;
  }
}

/** The fields of a database error that tests look at. */
export interface ShownError {
  readonly code: string | undefined;
  readonly detail: string | undefined;
}

/** Waits for a request to fail and gives its error's code and detail. */
export async function getError(request: Promise<unknown>): Promise<ShownError> {
  try {
    await request;
  } catch (error) {
    const { code, detail } = error as { code?: string; detail?: string };
    return { code, detail };
  }
  throw new Error('the request did not fail');
}

/** The session token that a caller was given last. */
export async function getToken(client: pg.Client): Promise<string> {
  const { rows } = await client.query<Record<string, string>>('SHOW filbertpoint.session');
  return rows[0]?.['filbertpoint.session'] ?? '';
}
