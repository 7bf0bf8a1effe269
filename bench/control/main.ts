import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { measureCore } from './coreSlopes.js';
import { measureGroups, measureRecords, measureSizes } from './fleetSlopes.js';

async function main(): Promise<void> {
  const options = await yargs(hideBin(process.argv))
    .scriptName('npm run capacity --')
    .option('part', {
      choices: ['all', 'core', 'sizes', 'groups', 'records'] as const,
      default: 'all' as const,
      describe: 'What to measure.',
    })
    .option('seconds', { type: 'number', default: 4, describe: 'Length of each measurement.' })
    .option('repeats', { type: 'number', default: 3, describe: 'Measurements of each size.' })
    .option('tickets', { type: 'number', default: 20, describe: 'Tickets per second.' })
    .strict()
    .parse();
  const slopes = {
    dist: join(dirname(fileURLToPath(import.meta.url)), '..', '..'),
    sizes: [3, 6, 12, 24, 48],
    windowMs: options.seconds * 1000,
    repeats: options.repeats,
    groups: 4,
    ticketsPerSecond: options.tickets,
    recordCounts: [0, 300, 3000],
  };
  const parts = {
    core: () => {
      measureCore();
      return Promise.resolve();
    },
    sizes: () => measureSizes(slopes),
    groups: () => measureGroups(slopes),
    records: () => measureRecords(slopes),
  };
  for (const [name, measure] of Object.entries(parts)) {
    if (options.part === 'all' || options.part === name) {
      await measure();
    }
  }
}

main().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? (error.stack ?? '') : String(error)}\n`);
  process.exitCode = 1;
});
