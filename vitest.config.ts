import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: [
      'src/**/*.test.ts',
      'standin/**/*.test.ts',
      'bench/**/*.test.ts',
      'tests/**/*.test.ts',
    ],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    reporters: ['default', './tests/support/countReporter.ts'],
  },
});
