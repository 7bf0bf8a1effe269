import type { Reporter, TestModule } from 'vitest/node';

/**
 * Prints one closing line `N passed, N failed`, counted from the runner's own report. A test that is
 * expected to fail is red: it is named, counts as neither, and KNOWN-RED.txt says why.
 */
export default class CountReporter implements Reporter {
  onTestRunEnd(modules: readonly TestModule[]): void {
    let passed = 0;
    let failed = 0;
    let skipped = 0;
    const red: string[] = [];
    for (const module of modules) {
      if (module.errors().length > 0) {
        failed += 1;
      }
      for (const test of module.children.allTests()) {
        const state = test.result().state;
        if (state === 'passed' && test.options.fails === true) {
          red.push(test.fullName);
        } else if (state === 'passed') {
          passed += 1;
        } else if (state === 'failed') {
          failed += 1;
        } else {
          skipped += 1;
        }
      }
    }
    const suffix = skipped > 0 ? `, ${skipped} skipped` : '';
    process.on('exit', () => {
      for (const name of red) {
        process.stdout.write(`known red: ${name}\n`);
      }
      process.stdout.write(`${passed} passed, ${failed} failed${suffix}\n`);
    });
  }
}
