import { readFileSync } from 'node:fs';
import { defineConfig } from 'vitest/config';

/** Crowds that fill a host's memory: run one at a time, after all other tests. */
const HOSTILE = 'tests/hostile/**/*.test.ts';

/**
 * Fleets in one process with bounds on the time of each answer: run one at a time. Beside three other
 * files a pause of the machine took longer than the bound, without a fault of the fleet.
 */
const TIMED = ['tests/platform/withdrawnInstances.test.ts', 'tests/platform/usageReports.test.ts'];

/** An entry of KNOWN-RED.txt that CI passes over: the file and the title of one hostile test. */
const KNOWN_RED_ENTRY = /^- `misbehaving\w+\.test\.ts` "(?<title>[^"]+)"/gm;

/**
 * Pattern of the tests to run. CI passes over the hostile tests that KNOWN-RED.txt names, and prints
 * that file; a run by hand includes them.
 */
function getTestNamePattern(): RegExp | undefined {
  const text = readFileSync(new URL('KNOWN-RED.txt', import.meta.url), 'utf8');
  const titles = [...text.matchAll(KNOWN_RED_ENTRY)].map(({ groups }) => groups?.title ?? '');
  const escaped = titles.map((title) => title.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'));
  return process.env.CI === undefined || escaped.length === 0
    ? undefined
    : new RegExp(`^(?!\\s*(?:${escaped.join('|')})$)`);
}

const testNamePattern = getTestNamePattern();

export default defineConfig({
  test: {
    ...(testNamePattern === undefined ? {} : { testNamePattern }),
    testTimeout: 60_000,
    hookTimeout: 60_000,
    reporters: ['default', './tests/support/countReporter.ts'],
    projects: [
      {
        extends: true,
        test: {
          name: 'main',
          include: [
            'src/**/*.test.ts',
            'standin/**/*.test.ts',
            'bench/**/*.test.ts',
            'tests/**/*.test.ts',
          ],
          exclude: ['**/node_modules/**', '**/dist/**', HOSTILE, ...TIMED],
          // Several files run whole fleets: more at once would starve their leases of processor time.
          maxWorkers: 4,
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: 'timed',
          include: TIMED,
          maxWorkers: 1,
          fileParallelism: false,
          sequence: { groupOrder: 1 },
        },
      },
      {
        extends: true,
        test: {
          name: 'hostile',
          include: [HOSTILE],
          maxWorkers: 1,
          fileParallelism: false,
          sequence: { groupOrder: 2 },
        },
      },
    ],
  },
});
