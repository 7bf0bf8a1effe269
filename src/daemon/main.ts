#!/usr/bin/env node
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { Fault } from '../common/diagnostics/index.js';
import { Logger } from '../common/logging/index.js';
import { tryReadSettings, type Settings } from '../common/settings/index.js';
import { PROCESS_START_MS, SystemTimerService } from '../common/timer/index.js';
import { Daemon } from './daemon.js';
import { PostgresInterfaces } from './postgresInterfaces.js';
import { tryReadDaemonFiles, type DaemonFiles } from './daemonFiles.js';
import { createSystemRandom } from './seededRandom.js';

const STOP_GRACE_MS = 10_000;
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const usage = yargs(hideBin(process.argv))
  .scriptName('filbertpointd')
  .usage('$0 FILE', 'Runs one daemon with the settings of a TOML file.', (command) =>
    command.positional('FILE', { type: 'string', demandOption: true, describe: 'Settings file.' }),
  )
  .option('found', {
    type: 'boolean',
    default: false,
    describe:
      'Create a new control quorum from the members in the settings. Use once, on first start.',
  })
  .strict();

async function main(): Promise<void> {
  const options = await usage.parse();
  const settings = tryReadSettings(String(options.FILE));
  if (settings.isErr()) {
    endWith(EXIT_USAGE, settings.error.message);
    return;
  }
  const files = tryReadDaemonFiles(settings.value);
  if (files.isErr()) {
    endWith(EXIT_USAGE, files.error.message);
    return;
  }
  await run(settings.value, files.value, options.found);
}

async function run(settings: Settings, files: DaemonFiles, isFounding: boolean): Promise<void> {
  const { host, domain, log } = settings;
  const logger = new Logger(log.level, { host, domain });
  const daemon = new Daemon({
    interfaces: new PostgresInterfaces(),
    settings,
    files,
    timer: new SystemTimerService(),
    logger,
    random: createSystemRandom(),
    isFounding,
    processStartMs: PROCESS_START_MS,
    onFatal: (fault) => {
      logger.reportFault(fault);
      process.exit(EXIT_FAILED);
    },
  });
  await daemon.start();
  let isStopping = false;
  const stop = (): void => {
    if (!isStopping) {
      isStopping = true;
      void daemon.stop(STOP_GRACE_MS).then(() => process.exit(0));
    }
  };
  // `on`, not `once`: without a listener, a second signal would end the process at once.
  process.on('SIGTERM', stop);
  process.once('SIGINT', stop);
  process.stdout.write(`ready ${daemon.operatorAddress}\n`);
}

/** Exits at once: otherwise parts that were started would keep running without the failed one. */
function endWith(status: number, message: string): void {
  process.stderr.write(`${message}\n`, () => process.exit(status));
}

main().catch((error: unknown) => {
  const message = error instanceof Fault ? error.message : String(error);
  endWith(EXIT_FAILED, message);
});
