import { formatDiagnostic } from '../src/common/diagnostics/index.js';
import { SystemTimerService } from '../src/common/timer/index.js';
import { createStandinInstance } from './instance/index.js';
import { tryReadStandinSettings, type StandinSettings } from './settings/index.js';

const USAGE = 'usage: main FILE.toml\n';
const EXIT_USAGE = 2;
const EXIT_FAILED = 1;

const [file] = process.argv.slice(2);
if (file === undefined) {
  process.stderr.write(USAGE);
  process.exitCode = EXIT_USAGE;
} else {
  await tryReadStandinSettings(file).match(run, ({ diagnostic, values }) => {
    process.stderr.write(`${formatDiagnostic(diagnostic, values)}\n`);
    process.exitCode = EXIT_FAILED;
    return Promise.resolve();
  });
}

/** Runs one instance until it is told to end. */
async function run(settings: StandinSettings): Promise<void> {
  const instance = createStandinInstance(settings, new SystemTimerService());
  await instance.start();
  process.stdout.write(`ready postgres://${instance.address} http://${instance.platform}\n`);
  const end = (): void => {
    void instance.stop();
  };
  process.once('SIGTERM', end);
  process.once('SIGINT', end);
}
