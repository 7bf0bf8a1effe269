import { SeededRandom } from '../experiment/seededRandom.js';
import type { PromotionModel } from './promotionModel.js';
import type { PromotionWorld } from './promotionWorld.js';

/** What an exploration found. */
export interface Exploration {
  /** Number of different worlds that were reached. */
  readonly worlds: number;
  /** Steps to a broken promise, and the promise; undefined when none was broken. */
  readonly violation: { readonly steps: readonly string[]; readonly promise: string } | undefined;
}

interface Path {
  readonly world: PromotionWorld;
  readonly steps: readonly string[];
}

/** Explores every world within a number of steps of the first and the later worlds, nearest first. */
export function exploreAll(model: PromotionModel, depth: number): Exploration {
  const starts = [model.createWorld(), ...model.createLaterWorlds()];
  let paths: Path[] = starts.map((world) => ({ world, steps: [] }));
  const known = new Set<string>();
  for (let reached = 0; reached < depth; reached += 1) {
    const next: Path[] = [];
    for (const { world, steps } of paths) {
      for (const step of model.getSteps(world)) {
        const taken = step.take();
        const key = taken && JSON.stringify(taken);
        if (taken === undefined || key === undefined || known.has(key)) {
          continue;
        }
        known.add(key);
        const path = { world: taken, steps: [...steps, step.name] };
        if (taken.violation !== undefined) {
          return { worlds: known.size, violation: { steps: path.steps, promise: taken.violation } };
        }
        next.push(path);
      }
    }
    paths = next;
  }
  return { worlds: known.size, violation: undefined };
}

/** Takes random walks from the first and the later worlds in turn. */
export function exploreRandomly(
  model: PromotionModel,
  seed: number,
  walks: number,
  depth: number,
): Exploration {
  const random = new SeededRandom(seed);
  const starts = [model.createWorld(), ...model.createLaterWorlds()];
  let worlds = 0;
  for (let walk = 0; walk < walks; walk += 1) {
    let world = starts[walk % starts.length] ?? model.createWorld();
    const steps: string[] = [];
    for (let reached = 0; reached < depth; reached += 1) {
      const choices = model.getSteps(world);
      const step = choices[Math.floor(random.next() * choices.length)];
      const taken = step?.take();
      if (step === undefined || taken === undefined) {
        continue;
      }
      world = taken;
      steps.push(step.name);
      worlds += 1;
      if (world.violation !== undefined) {
        return { worlds, violation: { steps, promise: world.violation } };
      }
    }
  }
  return { worlds, violation: undefined };
}
