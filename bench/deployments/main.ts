import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import pg from 'pg';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { createAccountSubject } from '../fleet/createAccountSubject.js';
import { createFleetPlan } from '../fleet/fleetPlan.js';
import { createLoad, InsertStatement, LoadOutcome, PlainStatement } from '../load/index.js';
import type { AccountReport, LoadReport } from '../load/index.js';
import { ProcessFleet } from '../processes/processFleet.js';
import { DEPLOYMENTS, type Deployment } from './deployment.js';

const KEY = 'the key of a bench';
const DEMAND_SHARE = 0.8;
const FLOOD_FACTOR = 5;
const FLOODING_ACCOUNT = 'account-3';
const SESSIONS = 6;
const FLOOD_SESSIONS = 30;
const REQUEST_TIMEOUT_MS = 5000;
const FILL_MS = 2000;

const MIX = [
  { statement: new InsertStatement(), weight: 3 },
  { statement: new PlainStatement('read', 'SELECT count(*) FROM load_sessions'), weight: 7 },
];

/** Runs one site's sizes with processes, one account asking for several times its rate. */
async function runDeployment(
  deployment: Deployment,
  dist: string,
  seconds: number,
  seed: number,
): Promise<void> {
  const plan = createFleetPlan({
    controls: 3,
    entries: deployment.entries,
    groups: deployment.groups,
  });
  const fleet = new ProcessFleet({ ...plan, ...deployment }, dist);
  try {
    await fleet.start();
    await openAccounts(fleet, deployment);
    const reports = await runLoads(fleet, deployment, seconds, seed);
    print(deployment, reports, seconds);
    await printReplicaShare(fleet, plan.daemons);
  } finally {
    await fleet.stop();
  }
}

async function openAccounts(fleet: ProcessFleet, deployment: Deployment): Promise<void> {
  const accounts = deployment.accounts.map((account) =>
    createAccountSubject(account, [{ id: 'bench', key: KEY }]),
  );
  const routes = getGroups(deployment).map((group) => ({ kind: 'route', route: group, group }));
  const body = { number: 1, subjects: [...accounts, ...routes] };
  await fleet.http.post(fleet.getHttp('control-1'), '/tickets', body);
  await fleet.waitFor(async () => {
    const { body: status } = await fleet.http.get(fleet.getHttp('control-1'), '/status');
    const { groups } = status as { groups: readonly { phase?: string; holder?: string }[] };
    const serving = groups.filter(({ phase, holder }) => phase === 'serving' && holder);
    return serving.length === deployment.groups;
  });
}

async function runLoads(
  fleet: ProcessFleet,
  deployment: Deployment,
  seconds: number,
  seed: number,
): Promise<readonly LoadReport[]> {
  const targets = Array.from({ length: deployment.entries }, (_unused, index) => {
    const { ip, callers } = fleet.get(`entry-${index + 1}`).ports;
    return `${ip}:${callers}`;
  });
  const groups = getGroups(deployment);
  const loads = groups.map((database, index) =>
    createLoad({
      targets,
      database,
      accounts: deployment.accounts.map(({ account, rate }) => ({
        name: account,
        key: KEY,
        arrival: { kind: 'open' as const, ratePerSecond: getDemand(account, rate) / groups.length },
        sessions: account === FLOODING_ACCOUNT ? FLOOD_SESSIONS : SESSIONS,
        mix: MIX,
      })),
      durationMs: seconds * 1000,
      drainMs: REQUEST_TIMEOUT_MS,
      seed: seed + index,
      timer: fleet.timer,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
    }),
  );
  await checkGroups(targets, groups);
  for (const load of loads) {
    await load.prepare();
  }
  await fleet.sleep(FILL_MS);
  return Promise.all(loads.map((load) => load.run()));
}

/** Checks that every group takes writes before the load begins. */
async function checkGroups(targets: readonly string[], groups: readonly string[]): Promise<void> {
  const [host, port] = (targets[0] ?? '').split(':');
  for (const database of groups) {
    const client = new pg.Client({
      host,
      port: Number(port),
      user: 'account-1',
      password: KEY,
      database,
    });
    await client.connect();
    await client.query('CREATE TABLE IF NOT EXISTS ready (id int primary key)');
    await client.end();
  }
}

function print(deployment: Deployment, reports: readonly LoadReport[], seconds: number): void {
  process.stdout.write(
    `${deployment.name}: ${seconds} s, ${FLOODING_ACCOUNT} at 5 times its rate\n`,
  );
  for (const { account, rate } of deployment.accounts) {
    const own = reports.flatMap(({ accounts }) =>
      accounts.filter((report) => report.account === account),
    );
    const count = (outcome: LoadOutcome): number =>
      own.reduce((sum, { outcomes }) => sum + outcomes[outcome], 0);
    const offered = own.reduce((sum, report) => sum + report.offered, 0);
    const acknowledged = count(LoadOutcome.Acknowledged);
    const due = Math.min(offered, rate * seconds);
    const row = [
      account,
      `rate ${rate}/s`,
      `offered ${offered}`,
      `acknowledged ${acknowledged}`,
      `of due ${(acknowledged / due).toFixed(3)}`,
      `not run ${count(LoadOutcome.NotRun)}`,
      `unknown ${count(LoadOutcome.Unknown)}`,
      `unsent ${count(LoadOutcome.Unsent)}`,
      `p50 ${getWorst(own, 'p50Ms')} ms`,
      `p99 ${getWorst(own, 'p99Ms')} ms`,
      JSON.stringify(Object.assign({}, ...own.map(({ codes }) => codes))),
    ];
    process.stdout.write(`  ${row.join(' | ')}\n`);
  }
}

function getWorst(reports: readonly AccountReport[], field: 'p50Ms' | 'p99Ms'): string {
  return Math.max(...reports.map(({ latency }) => latency[field])).toFixed(0);
}

async function printReplicaShare(
  fleet: ProcessFleet,
  daemons: readonly { readonly host: string }[],
): Promise<void> {
  let replica = 0;
  let all = 0;
  for (const { host } of daemons) {
    const { body } = await fleet.http.get(fleet.getHttp(host), '/metrics');
    for (const [, source, count] of String(body).matchAll(/reads_total\{source="(\w+)"\} (\d+)/g)) {
      all += Number(count);
      replica += source === 'replica' ? Number(count) : 0;
    }
  }
  process.stdout.write(`  reads on replicas ${((replica / Math.max(1, all)) * 100).toFixed(1)}%\n`);
}

function getDemand(account: string, rate: number): number {
  return account === FLOODING_ACCOUNT ? rate * FLOOD_FACTOR : rate * DEMAND_SHARE;
}

function getGroups({ groups }: Deployment): readonly string[] {
  return Array.from({ length: groups }, (_unused, index) => `ledger-${index + 1}`);
}

async function main(): Promise<void> {
  const options = await yargs(hideBin(process.argv))
    .scriptName('npm run deployments --')
    .option('seconds', { type: 'number', default: 15, describe: 'Length of each load.' })
    .option('seed', { type: 'number', default: 1, describe: 'Seed of the arrivals.' })
    .strict()
    .parse();
  const dist = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
  for (const deployment of DEPLOYMENTS) {
    await runDeployment(deployment, dist, options.seconds, options.seed);
  }
}

main().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? (error.stack ?? '') : String(error)}\n`);
  process.exitCode = 1;
});
