import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import pg from 'pg';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { createAccountSubject } from '../fleet/createAccountSubject.js';
import { createFleetPlan } from '../fleet/fleetPlan.js';
import { ProcessFleet } from '../processes/processFleet.js';
import { runClosedLoop, type LoopResult } from './closedLoop.js';
import { readProcessorMs, readResidentBytes } from './processUsage.js';

const GROUP = 'ledger-1';
const ACCOUNT = 'mill';
const KEY = 'the key of a bench';
const IDLE_BATCH = 100;
const SETTLE_MS = 1000;

/** One way from the caller to the database. */
interface Path {
  readonly name: string;
  readonly config: pg.ClientConfig;
  /** Daemons that a statement passes. */
  readonly daemons: readonly string[];
}

/** Measures what the proxy adds to a statement. */
class ProxyBench {
  private readonly fleet: ProcessFleet;
  private readonly plan = {
    ...createFleetPlan({ controls: 1, entries: 2, groups: 1 }),
    slots: 50,
    connectionLimit: 200,
    lagMs: 0,
  };

  constructor(
    dist: string,
    private readonly sessions: number,
    private readonly durationMs: number,
  ) {
    this.fleet = new ProcessFleet(this.plan, dist);
  }

  async run(idleConnections: number): Promise<void> {
    await this.fleet.start();
    await this.submit(
      createAccountSubject({ account: ACCOUNT, rate: 1_000_000, burst: 1_000_000 }, [
        { id: 'bench', key: KEY },
      ]),
    );
    await this.submit({ kind: 'route', route: GROUP, group: GROUP });
    const { holder, primary } = await this.readRoles();
    const other = holder === 'entry-1' ? 'entry-2' : 'entry-1';
    const paths: readonly Path[] = [
      { name: 'direct', config: this.getDirect(primary), daemons: [] },
      { name: 'one daemon', config: this.getConfig(holder), daemons: [holder] },
      { name: 'two daemons', config: this.getConfig(other), daemons: [other, holder] },
    ];
    await this.prepare(holder);
    for (const sessions of [1, this.sessions]) {
      for (const path of paths) {
        await this.measure(path, sessions, 'read', () => 'SELECT n FROM bench WHERE id = 1');
      }
      for (const path of paths) {
        await this.measure(
          path,
          sessions,
          'write',
          () => 'UPDATE bench SET n = n + 1 WHERE id = 2',
        );
      }
    }
    await this.printReplicaShare(holder);
    await this.measureIdle(other, idleConnections);
  }

  stop(): Promise<void> {
    return this.fleet.stop();
  }

  private async prepare(host: string): Promise<void> {
    const client = new pg.Client(this.getConfig(host));
    await client.connect();
    await client.query('CREATE TABLE bench (id int primary key, n int)');
    await client.query('INSERT INTO bench VALUES (1, 1), (2, 0)');
    await client.end();
  }

  private async measure(
    path: Path,
    sessions: number,
    kind: string,
    getText: () => string,
  ): Promise<void> {
    const { timer } = this.fleet;
    await runClosedLoop(path.config, sessions, this.durationMs / 4, getText, timer);
    const before = path.daemons.map((name) => readProcessorMs(this.getPid(name)));
    const result = await runClosedLoop(path.config, sessions, this.durationMs, getText, timer);
    const usage = path.daemons.map((name, index) => {
      const spentMs = readProcessorMs(this.getPid(name)) - (before[index] ?? 0);
      return `${name} ${((spentMs * 1000) / result.statements).toFixed(0)} µs`;
    });
    this.print(path.name, sessions, kind, result, usage);
  }

  private print(
    name: string,
    sessions: number,
    kind: string,
    { statements, seconds, latency }: LoopResult,
    usage: readonly string[],
  ): void {
    const row = [
      kind.padEnd(5),
      name.padEnd(11),
      `sessions ${String(sessions).padStart(2)}`,
      `${(statements / seconds).toFixed(0).padStart(6)} statements/s`,
      `p50 ${(latency.getValueAtPercentile(50) / 1000).toFixed(2)} ms`,
      `p99 ${(latency.getValueAtPercentile(99) / 1000).toFixed(2)} ms`,
      `processor ${usage.join(', ') || '-'}`,
    ];
    process.stdout.write(`${row.join(' | ')}\n`);
  }

  private async printReplicaShare(host: string): Promise<void> {
    let replica = 0;
    let primary = 0;
    for (const { host: name } of this.plan.daemons) {
      const { body } = await this.fleet.http.get(this.fleet.getHttp(name), '/metrics');
      replica += readCounter(String(body), 'replica');
      primary += readCounter(String(body), 'primary');
    }
    const share = replica / Math.max(1, replica + primary);
    process.stdout.write(`reads on replicas: ${(share * 100).toFixed(1)}% (holder ${host})\n`);
  }

  private async measureIdle(host: string, count: number): Promise<void> {
    const pid = this.getPid(host);
    const before = readResidentBytes(pid);
    const clients: pg.Client[] = [];
    while (clients.length < count) {
      const batch = Array.from({ length: IDLE_BATCH }, () => new pg.Client(this.getConfig(host)));
      await Promise.all(batch.map((client) => client.connect()));
      clients.push(...batch);
    }
    await this.fleet.sleep(SETTLE_MS);
    const bytes = readResidentBytes(pid) - before;
    const spent = readProcessorMs(pid);
    await this.fleet.sleep(SETTLE_MS * 5);
    const idleMs = (readProcessorMs(pid) - spent) / 5;
    process.stdout.write(
      `idle connections: ${clients.length}, ${(bytes / clients.length / 1024).toFixed(1)} KiB each, ` +
        `${(bytes / 1_048_576).toFixed(0)} MiB in all, processor ${idleMs.toFixed(0)} ms/s\n`,
    );
    clients.forEach((client) => void client.end().catch(() => undefined));
  }

  private getDirect(instance: string): pg.ClientConfig {
    const { ip, main } = this.fleet.get(instance).ports;
    return { host: ip, port: main, user: 'bench', database: GROUP };
  }

  private getConfig(host: string): pg.ClientConfig {
    const { ip, callers } = this.fleet.get(host).ports;
    return { host: ip, port: callers, user: ACCOUNT, password: KEY, database: GROUP };
  }

  private getPid(name: string): number {
    return this.fleet.get(name).child?.pid ?? 0;
  }

  private async submit(subject: object): Promise<void> {
    this.ticket += 1;
    const body = { number: this.ticket, subjects: [subject] };
    await this.fleet.http.post(this.fleet.getHttp('control-1'), '/tickets', body);
  }

  private ticket = 0;

  private async readRoles(): Promise<{ readonly holder: string; readonly primary: string }> {
    let found = { holder: '', primary: '' };
    await this.fleet.waitFor(async () => {
      const { body } = await this.fleet.http.get(this.fleet.getHttp('control-1'), '/status');
      const { groups } = body as { groups: readonly (typeof found & { phase?: string })[] };
      const [group] = groups;
      found = { holder: group?.holder ?? '', primary: group?.primary ?? '' };
      return group?.phase === 'serving' && found.holder !== '';
    });
    return found;
  }
}

function readCounter(page: string, source: string): number {
  const pattern = new RegExp(`reads_total\\{source="${source}"\\} (\\d+)`);
  return Number(pattern.exec(page)?.[1] ?? 0);
}

async function main(): Promise<void> {
  const options = await yargs(hideBin(process.argv))
    .scriptName('npm run bench --')
    .option('sessions', { type: 'number', default: 20, describe: 'Sessions of the loaded runs.' })
    .option('seconds', { type: 'number', default: 4, describe: 'Length of each run.' })
    .option('idle', { type: 'number', default: 7700, describe: 'Idle connections to measure.' })
    .strict()
    .parse();
  const dist = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
  const bench = new ProxyBench(dist, options.sessions, options.seconds * 1000);
  try {
    await bench.run(options.idle);
  } finally {
    await bench.stop();
  }
}

main().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? (error.stack ?? '') : String(error)}\n`);
  process.exitCode = 1;
});
