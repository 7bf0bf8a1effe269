import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: [
      'src/**/*.test.ts',
      'standin/**/*.test.ts',
      'bench/**/*.test.ts',
      'tests/**/*.test.ts',
    ],
    // Several files run whole fleets: more at once would starve their leases of processor time.
    maxWorkers: 4,
    testTimeout: 60_000,
    hookTimeout: 60_000,
    reporters: ['default', './tests/support/countReporter.ts'],
  },
});
