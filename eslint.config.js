import tseslint from 'typescript-eslint';

/** The adapter knows the product; the product does not know the platform. */
const ADAPTER = ['**/platform/*', '**/platform/lines/**', '**/platform/http/**'];

/** Builds a rule that keeps a folder from importing the folders above it. */
function forbidImports(folder, forbidden) {
  return {
    files: [`${folder}/**/*.ts`],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [...forbidden, ADAPTER].map((group) => ({
            group,
            message:
              'Folders depend only downwards: common < decisions < daemon, cli < platform, bench, tests.',
          })),
        },
      ],
    },
  };
}

const pureGlobals = ['setTimeout', 'setInterval', 'setImmediate', 'process', 'performance'];

export default tseslint.config(
  {
    ignores: [
      'target/**',
      'scripts/**',
      'dist/**',
      'node_modules/**',
      'coverage/**',
      'eslint.config.js',
      'vitest.config.ts',
    ],
  },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { project: './tsconfig.json', tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
    },
  },
  forbidImports('src/common', [
    ['**/decisions/**', '**/daemon/**', '**/cli/**', '**/standin/**', '**/bench/**'],
  ]),
  forbidImports('src/decisions', [
    ['**/daemon/**', '**/cli/**', '**/standin/**', '**/bench/**'],
    ['node:*', 'ws', 'pg', 'fastify', 'most'],
  ]),
  forbidImports('src/daemon', [['**/cli/**', '**/standin/**', '**/bench/**']]),
  forbidImports('src/cli', [['**/standin/**', '**/bench/**']]),
  {
    files: ['src/decisions/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-globals': ['error', ...pureGlobals],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now' },
        { object: 'Math', property: 'random' },
      ],
    },
  },
);
