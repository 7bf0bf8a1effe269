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
const WARM_UP = 'warmUp.cjs';
const DAEMON_KEY = 'filbertpoint.daemon';
/** A fleet that starts on a busy machine takes up to 5 s; without a warm-up the cache holds less. */
const WARM_UP_LIMIT_MS = 30_000;

/** Leaves out the texts of error messages in other languages, which no start needs. */
const withoutLocales = {
  name: 'without-locales',
  setup({ onLoad }) {
    onLoad({ filter: /zod[\\/]v4[\\/]locales[\\/]index\.c?js$/ }, () => ({
      contents: "export { default as en } from './en.js';",
    }));
  },
};

/** Loads parts of the runtime that libraries name, and that ordinary starts don't use, at their first use. */
const withLateBuiltins = {
  name: 'with-late-builtins',
  setup({ onResolve, onLoad }) {
    const late = /^(node:)?(http2|https|zlib|child_process|dns|cluster|worker_threads)$/;
    // Names taken by an import statement are read at once; only what is called for can wait.
    onResolve({ filter: late }, ({ path, namespace, kind }) =>
      namespace === 'late' || kind !== 'require-call'
        ? { path, external: true }
        : { path, namespace: 'late' },
    );
    onLoad({ filter: /.*/, namespace: 'late' }, ({ path }) => ({
      contents: `module.exports = new Proxy({}, { get: (_, name) => require('${path}')[name] });`,
    }));
  },
};

/** Loads the HTTP library when the operators' interface starts, which is after callers are served. */
const withLateFastify = {
  name: 'with-late-fastify',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^fastify$/ }, ({ namespace, path }) =>
      namespace === 'late-fastify' ? undefined : { path, namespace: 'late-fastify' },
    );
    onLoad({ filter: /.*/, namespace: 'late-fastify' }, () => ({
      contents: "module.exports = (...options) => require('fastify')(...options);",
      resolveDir: process.cwd(),
    }));
  },
};

/** Lets the warm-up's fleet run the daemon of the bundle instead of a second copy of its modules. */
const withBundledDaemon = {
  name: 'with-bundled-daemon',
  setup({ onResolve, onLoad }) {
    const bundled = /(platform\/(main|platformSettings)|common\/(logging|timer)\/index)\.js$/;
    onResolve({ filter: bundled }, ({ path }) => ({ path, namespace: 'bundled' }));
    onLoad({ filter: /.*/, namespace: 'bundled' }, () => ({
      contents: `module.exports = globalThis[Symbol.for('${DAEMON_KEY}')];`,
    }));
  },
};

const COMMON = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'error',
};

mkdirSync(FOLDER, { recursive: true });
await build({
  entryPoints: ['platform/bundle.ts'],
  outfile: join(FOLDER, BUNDLE),
  ...COMMON,
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  plugins: [withoutLocales, withLateBuiltins, withLateFastify],
  banner: { js: '(function(exports,require,module){' },
  footer: { js: '})' },
});

writeFileSync(
  join(FOLDER, 'filbertpoint.cjs'),
  `'use strict';
// As platform/earlySignals.ts: told to read its settings again while it starts, it goes on.
process.on('SIGHUP', () => undefined);
const { readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');
const file = join(__dirname, '${BUNDLE}');
// The bundle is ASCII, which is read faster as Latin-1 than as UTF-8.
const script = new Script(readFileSync(file, 'latin1'), { filename: file, cachedData: readFileSync(join(__dirname, '${CACHE}')) });
const loaded = { exports: {} };
script.runInThisContext()(loaded.exports, require, loaded);
loaded.exports.main().catch((error) => {
  process.stderr.write((error.stack ?? error) + '\\n');
  process.exit(1);
});
`,
);

// The cache is taken after a small fleet of it ran, so that it holds the functions of every start
// and of ordinary requests: a restarted host would compile them while its first callers wait.
await build({
  entryPoints: ['bench/lines/warmUp.ts'],
  outfile: join(FOLDER, WARM_UP),
  ...COMMON,
  plugins: [withBundledDaemon],
});
const require = createRequire(join(process.cwd(), FOLDER, 'filbertpoint.cjs'));
const script = new Script(readFileSync(join(FOLDER, BUNDLE), 'latin1'), {
  filename: join(process.cwd(), FOLDER, BUNDLE),
});
const loaded = { exports: {} };
script.runInThisContext()(loaded.exports, require, loaded);
globalThis[Symbol.for(DAEMON_KEY)] = loaded.exports;
const limit = setTimeout(() => finish(new Error('it took too long')), WARM_UP_LIMIT_MS);
require(`./${WARM_UP}`)
  .warmUp()
  .then(() => finish(), finish);

function finish(fault) {
  clearTimeout(limit);
  if (fault !== undefined) {
    process.stderr.write(`The code cache was made without a warm-up: ${fault.stack}\n`);
  }
  writeFileSync(join(FOLDER, CACHE), script.createCachedData());
  process.exit(0);
}
