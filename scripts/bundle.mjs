// Bundles the platform's daemon into target/: one file, the engine's code cache of it, and a starter.
// A restarted host pays for every module that it finds, reads and compiles again.
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';
import { build } from 'esbuild';

const FOLDER = 'target';
const BUNDLE = 'daemon.cjs';
const CACHE = 'daemon.cache';

/** Leaves out the texts of error messages in other languages, which no start needs. */
const withoutLocales = {
  name: 'without-locales',
  setup({ onLoad }) {
    onLoad({ filter: /zod[\\/]v4[\\/]locales[\\/]index\.c?js$/ }, () => ({
      contents: "export { default as en } from './en.js';",
    }));
  },
};

mkdirSync(FOLDER, { recursive: true });
await build({
  entryPoints: ['platform/main.ts'],
  outfile: join(FOLDER, BUNDLE),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  logLevel: 'error',
  plugins: [withoutLocales],
});

writeFileSync(
  join(FOLDER, 'filbertpoint.cjs'),
  `'use strict';
const { readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');
const file = join(__dirname, '${BUNDLE}');
const source = '(function(exports,require,module){' + readFileSync(file, 'utf8') + '\\n})';
const script = new Script(source, { filename: file, cachedData: readFileSync(join(__dirname, '${CACHE}')) });
const loaded = { exports: {} };
script.runInThisContext()(loaded.exports, require, loaded);
loaded.exports.main().catch((error) => {
  process.stderr.write((error.stack ?? error) + '\\n');
  process.exit(1);
});
`,
);

// The cache is taken after the modules ran, so that it holds the functions that every start runs.
const require = createRequire(join(process.cwd(), FOLDER, 'filbertpoint.cjs'));
const source = `(function(exports,require,module){${readFileSync(join(FOLDER, BUNDLE), 'utf8')}\n})`;
const script = new Script(source, { filename: join(process.cwd(), FOLDER, BUNDLE) });
const loaded = { exports: {} };
script.runInThisContext()(loaded.exports, require, loaded);
writeFileSync(join(FOLDER, CACHE), script.createCachedData());
