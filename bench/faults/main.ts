import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { FaultSoak } from './faultSoak.js';

const FIRST_NETWORK = 100;
const RUNS_AT_ONCE = 2;

const options = await yargs(hideBin(process.argv))
  .scriptName('faults')
  .usage(
    '$0 [options]\n\nReal daemons under faults drawn from seeds; promises checked on both sides.',
  )
  .option('seed', { type: 'number', default: Date.now() % 1_000_000, describe: 'First seed.' })
  .option('seeds', { type: 'number', default: 1, describe: 'Number of seeds.' })
  .option('seconds', { type: 'number', default: 15, describe: 'Time under faults, each seed.' })
  .strict()
  .parse();

let failed = 0;
const seeds = Array.from({ length: options.seeds }, (_, index) => options.seed + index);

async function work(network: number): Promise<void> {
  for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
    const result = await FaultSoak.run(seed, options.seconds * 1000, network);
    const { faults, violations, served, acknowledged, promotions, folder } = result;
    const numbers = `served ${served}, writes ${acknowledged}, promotions ${promotions}`;
    process.stdout.write(`seed ${seed}: ${faults.length} faults, ${numbers}\n`);
    for (const violation of violations) {
      process.stdout.write(`  VIOLATED ${violation}\n`);
    }
    if (violations.length > 0) {
      failed += 1;
      process.stdout.write(`  faults: ${faults.join(', ')}\n  logs: ${folder ?? ''}\n`);
    }
  }
}

await Promise.all(Array.from({ length: RUNS_AT_ONCE }, (_, index) => work(FIRST_NETWORK + index)));
process.stdout.write(`${options.seeds - failed} of ${options.seeds} seeds without a violation\n`);
process.exitCode = failed > 0 ? 1 : 0;
