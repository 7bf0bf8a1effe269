import { parseArgs } from 'node:util';
import { exploreAll, exploreRandomly, type Exploration } from './exploreWorlds.js';
import { PromotionModel } from './promotionModel.js';

/** Checks the promotion rules in every small world, then in random walks; code 1 for a broken promise. */
function main(): void {
  const { values } = parseArgs({
    options: {
      depth: { type: 'string', default: '6' },
      walks: { type: 'string', default: '20000' },
      steps: { type: 'string', default: '30' },
      seed: { type: 'string', default: '1' },
      writes: { type: 'string', default: '3' },
    },
  });
  const maximumWrites = Number(values.writes);
  for (const hasFencedOrders of [true, false]) {
    const model = new PromotionModel({ hasFencedOrders, maximumWrites });
    const label = hasFencedOrders ? 'fenced orders' : 'unfenced orders';
    report(`${label}, all within ${values.depth} steps`, exploreAll(model, Number(values.depth)));
    const steps = Number(values.steps);
    const walks = exploreRandomly(model, Number(values.seed), Number(values.walks), steps);
    report(`${label}, ${values.walks} walks of ${values.steps} steps, seed ${values.seed}`, walks);
  }
}

function report(label: string, { worlds, violation }: Exploration): void {
  console.log(`${label}: ${worlds} worlds, ${violation?.promise ?? 'no promise broken'}`);
  if (violation !== undefined) {
    console.log(violation.steps.map((each) => `  ${each}`).join('\n'));
    process.exitCode = 1;
  }
}

main();
