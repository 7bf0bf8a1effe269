/**
 * Work divided into steps, each short enough for the event loop, that ends with a result. Between
 * steps a caller may let other work run.
 */
export type Steps<Value> = Generator<undefined, Value, undefined>;

/** Runs work to its end without a pause. */
export function runSteps<Value>(steps: Steps<Value>): Value {
  for (;;) {
    const step = steps.next();
    if (step.done === true) {
      return step.value;
    }
  }
}

/** Runs work to its end, and lets the event loop turn between its steps. */
export async function runStepsInTurns<Value>(steps: Steps<Value>): Promise<Value> {
  for (;;) {
    const step = steps.next();
    if (step.done === true) {
      return step.value;
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
}
