import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import pg from 'pg';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { createAccountSubject } from '../fleet/createAccountSubject.js';
import { createFleetPlan } from '../fleet/fleetPlan.js';
import { ProcessFleet } from '../processes/processFleet.js';
import { FAILURES, type Failure, type FleetRoles } from './failures.js';
import { summarize, type RunResult } from './summary.js';
import { Writer } from './writer.js';

const GROUP = 'ledger-1';
const TABLE = 'bookings';
const ACCOUNT = 'mill';
const KEY = 'the key of a bench';
const WARM_MS = 1500;
const WATCH_MS = 4000;
const SETTLE_MS = 1500;
const ID_RANGE = 1_000_000_000;

interface StatusView {
  readonly leader: string;
  readonly groups: readonly {
    readonly group: string;
    readonly holder?: string;
    readonly primary?: string;
    readonly phase?: string;
    readonly instances: readonly { readonly announcedAgoMs: number }[];
  }[];
  readonly daemons: readonly { readonly host: string }[];
}

/** Measures how long writes stall when parts of a fleet of processes fail. */
class FailoverBench {
  private readonly fleet: ProcessFleet;
  private readonly plan = {
    ...createFleetPlan({ controls: 3, entries: 6, groups: 1 }),
    lagMs: 5,
    statementMs: 1,
    openingMs: 30,
  };
  private ticket = 0;
  private runCount = 0;

  constructor(distFolder: string) {
    this.fleet = new ProcessFleet(this.plan, distFolder);
  }

  async start(): Promise<void> {
    await this.fleet.start();
    const account = { account: ACCOUNT, rate: 100_000, burst: 100_000 };
    await this.submit(createAccountSubject(account, [{ id: 'bench', key: KEY }]));
    await this.submit({ kind: 'route', route: GROUP, group: GROUP });
    await this.waitServing();
    const client = new pg.Client(this.getConfig('entry-1'));
    await client.connect();
    await client.query(`CREATE TABLE ${TABLE} (id int primary key)`);
    await client.end();
  }

  async stop(): Promise<void> {
    await this.fleet.stop();
  }

  /** Runs one failure and gives what the writers saw. */
  async run(failure: Failure): Promise<RunResult> {
    await this.waitServing();
    const roles = await this.readRoles();
    const writers = this.startWriters();
    await this.fleet.sleep(WARM_MS);
    const beginMs = this.fleet.timer.now();
    await failure.begin(this.fleet, roles);
    await this.fleet.sleep(WATCH_MS);
    const stopped = writers.map((writer) => writer.stop());
    await failure.end(this.fleet, roles);
    await Promise.all(stopped);
    await this.waitServing();
    await this.fleet.sleep(SETTLE_MS);
    const events = writers.flatMap((writer) => writer.events);
    const rows = await this.readRows();
    return { events, beginMs, rows };
  }

  /** Moves the primary by ticket and gives what the writers saw. */
  async runMove(): Promise<RunResult> {
    await this.waitServing();
    const { primary } = await this.readRoles();
    const writers = this.startWriters();
    await this.fleet.sleep(WARM_MS);
    const beginMs = this.fleet.timer.now();
    const server = { kind: 'backend-server', group: GROUP, instance: primary };
    await this.submit({ ...server, leaving: true });
    await this.fleet.sleep(WATCH_MS / 2);
    await Promise.all(writers.map((writer) => writer.stop()));
    await this.submit({ ...server, leaving: false });
    await this.waitServing();
    await this.fleet.sleep(SETTLE_MS);
    const events = writers.flatMap((writer) => writer.events);
    return { events, beginMs, rows: await this.readRows() };
  }

  private startWriters(): readonly Writer[] {
    this.runCount += 1;
    const hosts = this.plan.daemons.filter(({ roles }) => roles.includes('entry'));
    return hosts.map(({ host }, index) => {
      const first = this.runCount * 1_000_000 + index;
      const { timer } = this.fleet;
      const writer = new Writer(this.getConfig(host), TABLE, first, hosts.length, timer);
      writer.start();
      return writer;
    });
  }

  private getConfig(host: string): pg.ClientConfig {
    const { ip, callers } = this.fleet.get(host).ports;
    return { host: ip, port: callers, user: ACCOUNT, password: KEY, database: GROUP };
  }

  /** How often each id of the present run stands on the primary. */
  private async readRows(): Promise<ReadonlyMap<number, number>> {
    const client = new pg.Client(this.getConfig('entry-1'));
    await client.connect();
    await client.query('BEGIN');
    const { rows } = await client.query<{ id: number | string }>(`SELECT id FROM ${TABLE}`);
    await client.query('ROLLBACK');
    await client.end();
    const counts = new Map<number, number>();
    for (const { id } of rows) {
      const number = Number(id) % ID_RANGE;
      counts.set(number, (counts.get(number) ?? 0) + 1);
    }
    return counts;
  }

  private async submit(...subjects: readonly object[]): Promise<void> {
    this.ticket += 1;
    const body = { number: this.ticket, subjects };
    const answer = await this.fleet.http.post(this.fleet.getHttp('entry-1'), '/tickets', body);
    if (answer.status !== 200) {
      throw new Error(`ticket: ${answer.status} ${JSON.stringify(answer.body)}`);
    }
  }

  private async readStatus(): Promise<StatusView> {
    const { body } = await this.fleet.http.get(this.fleet.getHttp('entry-1'), '/status');
    return body as StatusView;
  }

  private async readRoles(): Promise<FleetRoles> {
    const { leader, groups } = await this.readStatus();
    const group = groups.find((candidate) => candidate.group === GROUP);
    return { leader, holder: group?.holder ?? '', primary: group?.primary ?? '' };
  }

  private waitServing(): Promise<void> {
    return this.fleet.waitFor(async () => {
      const { groups, daemons } = await this.readStatus();
      const group = groups.find((candidate) => candidate.group === GROUP);
      const isHeld = group?.phase === 'serving' && group.holder !== undefined;
      const isWhole = group?.instances.every(({ announcedAgoMs }) => announcedAgoMs < 500) === true;
      const hosts = new Set(daemons.map(({ host }) => host));
      return isHeld && isWhole && hosts.size >= this.plan.daemons.length;
    });
  }
}

async function main(): Promise<void> {
  const options = await yargs(hideBin(process.argv))
    .scriptName('npm run failover --')
    .option('runs', { type: 'number', default: 20, describe: 'Runs of each failure.' })
    .option('kind', { type: 'string', describe: 'Only failures whose name contains this.' })
    .strict()
    .parse();
  const dist = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
  const bench = new FailoverBench(dist);
  const { kind = '' } = options;
  try {
    await bench.start();
    const wanted = FAILURES.filter(({ name }) => name.includes(kind));
    const runs = wanted.map((failure) => ({
      name: failure.name,
      run: () => bench.run(failure),
    }));
    if ('planned-move'.includes(kind)) {
      runs.push({ name: 'planned-move', run: () => bench.runMove() });
    }
    for (const { name, run } of runs) {
      const results: RunResult[] = [];
      for (let count = 0; count < options.runs; count += 1) {
        results.push(await run());
      }
      process.stdout.write(`${summarize(name, results)}\n`);
    }
  } finally {
    await bench.stop();
  }
}

main().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? (error.stack ?? '') : String(error)}\n`);
  process.exitCode = 1;
});
