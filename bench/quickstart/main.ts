import { existsSync } from 'node:fs';
import { randomBytes, randomInt } from 'node:crypto';
import { join } from 'node:path';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { Logger } from '../../src/common/logging/index.js';
import { settingsSchema, type Settings } from '../../src/common/settings/index.js';
import { SystemTimerService } from '../../src/common/timer/index.js';
import { Daemon } from '../../src/daemon/daemon.js';
import { PostgresInterfaces } from '../../src/daemon/postgresInterfaces.js';
import { SeededRandom } from '../../src/daemon/seededRandom.js';
import { createStandinInstance, type StandinInstance } from '../../standin/index.js';
import { createAccountSubject } from '../fleet/createAccountSubject.js';
import { findFreePorts } from '../fleet/freePorts.js';
import { HttpJson } from '../fleet/httpJson.js';

const ACCOUNT = 'demo';
const DATABASE = 'ledger';
const IP = '127.0.0.1';
const RATE = 1000;
const BURST = 1000;
const POLL_INTERVAL_MS = 50;
const READY_TIMEOUT_MS = 20_000;
const STOP_GRACE_MS = 2000;
const SEED_RANGE = 2 ** 31;
const HTTP_OK = 200;

const timer = new SystemTimerService();
const http = new HttpJson();

async function main(): Promise<void> {
  const options = await yargs(hideBin(process.argv))
    .scriptName('npm run quickstart --')
    .usage('$0', 'Runs control, entry and three stand-in databases in one process.')
    .option('port', { type: 'number', default: 6432, describe: 'Port for callers; 0 for any.' })
    .option('admin-port', { type: 'number', default: 6480, describe: 'HTTP port; 0 for any.' })
    .option('data', { type: 'string', default: 'data/quickstart', describe: 'Data folder.' })
    .strict()
    .parse();
  const settings = await createSettings(options.port, options.adminPort, options.data);
  const daemon = createDaemon(settings, options.data);
  await daemon.start();
  const known = await readKnownPrimary(daemon.operatorAddress);
  const instances = await startInstances(daemon.operatorAddress, known);
  const key = await openAccount(daemon.operatorAddress);
  const callers = `postgres://${ACCOUNT}:${key}@${IP}:${daemon.callerPort}/${DATABASE}`;
  process.stdout.write(`ready ${callers} admin http://${daemon.operatorAddress}\n`);
  stopOnSignal(daemon, instances);
}

async function createSettings(port: number, adminPort: number, data: string): Promise<Settings> {
  const [meshPort] = await findFreePorts(IP, 1);
  const mesh = `${IP}:${meshPort ?? 0}`;
  return settingsSchema.parse({
    host: 'quickstart',
    domain: 'local',
    roles: ['control', 'entry'],
    data_folder: data,
    mesh: { listen: mesh, plain: true },
    control: { members: [{ host: 'quickstart', domain: 'local', address: mesh }] },
    callers: { listen: `${IP}:${port}` },
    operators: { listen: `${IP}:${adminPort}` },
    fleet: { token_key: 'the key of a trial on one machine' },
    log: { level: 'warn' },
  });
}

function createDaemon(settings: Settings, data: string): Daemon {
  const logger = new Logger(settings.log.level, { host: settings.host });
  return new Daemon({
    interfaces: new PostgresInterfaces(),
    settings,
    files: {
      fleetKey: settings.fleet.token_key ?? '',
      meshTls: undefined,
      callerTls: undefined,
      backendPassword: undefined,
      operatorTokens: undefined,
      announcerTokens: undefined,
    },
    timer,
    logger,
    random: new SeededRandom(randomInt(SEED_RANGE)),
    isFounding: !existsSync(join(data, 'control-log')),
    onFatal: (fault) => {
      logger.reportFault(fault);
      process.exit(1);
    },
  });
}

/** A primary as control recorded it. */
interface KnownPrimary {
  readonly primary: string;
  readonly term: number;
}

/** Reads the primary of an earlier run: the stand-ins keep nothing and begin again under its term. */
async function readKnownPrimary(operators: string): Promise<KnownPrimary | undefined> {
  let known: KnownPrimary | undefined;
  await waitFor(async () => {
    const { status, body } = await http.get(operators, '/status');
    if (status !== HTTP_OK) {
      return false;
    }
    const { groups } = body as { readonly groups: readonly Partial<KnownPrimary>[] };
    const [{ primary, term } = {}] = groups;
    known = primary === undefined || term === undefined ? undefined : { primary, term };
    return true;
  });
  return known;
}

async function startInstances(
  operators: string,
  known: KnownPrimary | undefined,
): Promise<readonly StandinInstance[]> {
  const primary = known?.primary ?? `${DATABASE}-a`;
  const names = ['a', 'b', 'c'];
  const ports = await findFreePorts(IP, names.length * 2);
  const https = names.map((_name, index) => `${IP}:${ports[index * 2 + 1] ?? 0}`);
  const instances: StandinInstance[] = [];
  for (const [index, name] of names.entries()) {
    const instance = createStandinInstance(
      {
        group: DATABASE,
        instance: `${DATABASE}-${name}`,
        domain: 'local',
        listen: `${IP}:${ports[index * 2] ?? 0}`,
        http: https[index] ?? '',
        peers: https.filter((_address, other) => other !== index),
        filbertpoint: [operators],
        role: primary === `${DATABASE}-${name}` ? 'primary' : 'replica',
        ...(known === undefined ? {} : { term: known.term }),
        lag_ms: 5,
        received_limit_bytes: 0,
      },
      timer,
      new Logger('warn', { instance: name }),
    );
    await instance.start();
    instances.push(instance);
  }
  return instances;
}

/** Gives the account a new key and waits until the database is served. */
async function openAccount(operators: string): Promise<string> {
  const key = randomBytes(12).toString('base64url');
  const account = createAccountSubject({ account: ACCOUNT, rate: RATE, burst: BURST }, [
    { id: 'quickstart', key },
  ]);
  const route = { kind: 'route', route: DATABASE, group: DATABASE };
  await waitFor(async () => {
    const number = (await readHighestTicket(operators)) + 1;
    const body = { number, subjects: [account, route] };
    return (await http.post(operators, '/tickets', body)).status === HTTP_OK;
  });
  await waitFor(async () => {
    const { body } = await http.get(operators, '/status');
    return JSON.stringify(body).includes('"phase":"serving"');
  });
  await waitFor(async () => (await http.get(operators, '/readyz')).status === HTTP_OK);
  return key;
}

async function readHighestTicket(operators: string): Promise<number> {
  const { body } = await http.get(operators, '/in-force');
  const numbers = [...JSON.stringify(body).matchAll(/"ticket":(\d+)/g)].map(([, text]) =>
    Number(text),
  );
  return Math.max(0, ...numbers);
}

async function waitFor(isTrue: () => Promise<boolean>): Promise<void> {
  const endMs = timer.now() + READY_TIMEOUT_MS;
  while (!(await isTrue())) {
    if (timer.now() > endMs) {
      throw new Error('the fleet did not become ready in time');
    }
    await new Promise<void>((resolve) => {
      timer.once(POLL_INTERVAL_MS, () => resolve());
    });
  }
}

function stopOnSignal(daemon: Daemon, instances: readonly StandinInstance[]): void {
  const stop = (): void => {
    void daemon
      .stop(STOP_GRACE_MS)
      .then(() => Promise.all(instances.map((instance) => instance.stop())))
      .then(() => process.exit(0));
  };
  process.once('SIGINT', stop);
  process.once('SIGTERM', stop);
}

main().catch((error: unknown) => {
  process.stderr.write(
    `${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`,
  );
  process.exit(1);
});
