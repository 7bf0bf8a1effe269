import { freemem, totalmem } from 'node:os';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { FaultSoak, type FaultSoakResult } from './faultSoak.js';

const FIRST_NETWORK = 100;
/** Memory of one daemon's process, in bytes. */
const PROCESS_BYTES = 115_000_000;
const MOST_PROCESSES = 300;

const options = await yargs(hideBin(process.argv))
  .scriptName('faults')
  .usage(
    '$0 [options]\n\nReal daemons under faults drawn from seeds; promises checked on both sides.',
  )
  .option('seed', { type: 'number', default: Date.now() % 1_000_000, describe: 'First seed.' })
  .option('seeds', { type: 'number', default: 1, describe: 'Number of seeds.' })
  .option('seconds', { type: 'number', default: 15, describe: 'Time under faults, each seed.' })
  .option('controls', { type: 'number', default: 3, describe: 'Control hosts.' })
  .option('entries', { type: 'number', default: 3, describe: 'Entry hosts.' })
  .option('crowd', {
    type: 'number',
    default: 24,
    describe: 'Callers that stay with each entry host and at times all ask at once.',
  })
  .option('at-once', { type: 'number', default: 2, describe: 'Seeds at a time.' })
  .option('program', { type: 'string', describe: "Daemon's program; the built one by default." })
  .strict()
  .parse();

const { controls, entries, crowd, seconds } = options;
const processes = (controls + entries) * options.atOnce;
const memory = processes * PROCESS_BYTES;
if (processes > MOST_PROCESSES || memory > Math.min(totalmem() / 2, freemem())) {
  throw new Error(`${processes} processes need more than half of the memory, or than is free`);
}

let failed = 0;
const seeds = Array.from({ length: options.seeds }, (_, index) => options.seed + index);

function report(result: FaultSoakResult): void {
  const { seed, faults, violations, served, acknowledged, promotions, folder } = result;
  const count = faults.filter((fault) => !fault.startsWith(' ')).length;
  const numbers = `served ${served}, writes ${acknowledged}, promotions ${promotions}`;
  const changes = `configurations ${result.configurations}`;
  process.stdout.write(`seed ${seed}: ${count} faults, ${numbers}, ${changes}\n`);
  process.stdout.write(`  answers: ${result.outcomes}\n`);
  process.stdout.write(`  processes without a processor: ${result.starvation}\n`);
  if (violations.length > 0) {
    failed += 1;
    violations.forEach((violation) => process.stdout.write(`  VIOLATED ${violation}\n`));
    faults.forEach((fault) => process.stdout.write(`  ${fault}\n`));
    const size = `--seconds ${seconds} --controls ${controls} --entries ${entries} --crowd ${crowd}`;
    process.stdout.write(`  again: npm run faults -- --seed ${seed} ${size}\n`);
    process.stdout.write(`  logs: ${folder ?? ''}/logs\n`);
  }
}

async function work(network: number): Promise<void> {
  for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
    const { program } = options;
    const size = { controls, entries, crowd, ...(program === undefined ? {} : { program }) };
    report(await FaultSoak.run({ seed, faultsMs: seconds * 1000, network, ...size }));
  }
}

await Promise.all(
  Array.from({ length: options.atOnce }, (_, index) => work(FIRST_NETWORK + index)),
);
process.stdout.write(`${options.seeds - failed} of ${options.seeds} seeds without a violation\n`);
process.exitCode = failed > 0 ? 1 : 0;
