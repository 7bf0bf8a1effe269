// Bundles the platform's daemon into target/: one file, the engine's code cache of it, and a starter.
// A restarted host pays for every module that it finds, reads and compiles again.
import { createHash } from 'node:crypto';
import { mkdirSync, readdirSync, renameSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';
import { build } from 'esbuild';

const FOLDER = 'target';
const STARTER = 'filbertpoint.cjs';
const WARM_UP = `warmUp-${process.pid}.cjs`;
const BUILT_FILE = /^daemon.*\.(cjs|cache)$/;
/** Builds of other content are kept for this long, as a process may be starting from them. */
const RETENTION_MS = 3_600_000;
/** Length of the part of the content's hash in file names, in hexadecimal digits. */
const HASH_LENGTH = 16;
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
const built = await build({
  entryPoints: ['platform/bundle.ts'],
  write: false,
  ...COMMON,
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  plugins: [withoutLocales, withLateBuiltins, withLateFastify],
  banner: { js: '(function(exports,require,module){' },
  footer: { js: '})' },
});

// The engine compares a code cache with the length of its source only. Files that are named by their
// content and appear as a whole never mix two builds, also when several run in one folder.
const source = built.outputFiles[0].text;
const hash = createHash('sha256').update(source).digest('hex').slice(0, HASH_LENGTH);
const BUNDLE = `daemon-${hash}.cjs`;
const CACHE = `daemon-${hash}.cache`;
replaceFile(BUNDLE, source);

const starter = `'use strict';
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
`;

// The cache is taken after a small fleet of it ran, so that it holds the functions of every start
// and of ordinary requests: a restarted host would compile them while its first callers wait.
await build({
  entryPoints: ['bench/lines/warmUp.ts'],
  outfile: join(FOLDER, WARM_UP),
  ...COMMON,
  plugins: [withBundledDaemon],
});
const require = createRequire(join(process.cwd(), FOLDER, STARTER));
const script = new Script(source, {
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
  replaceFile(CACHE, script.createCachedData());
  replaceFile(STARTER, starter);
  rmSync(join(FOLDER, WARM_UP), { force: true });
  removeEarlierBuilds();
  process.exit(0);
}

/** Writes a file of the folder so that readers see its earlier content or all of the new one. */
function replaceFile(name, content) {
  const temporary = join(FOLDER, `${name}.${process.pid}`);
  writeFileSync(temporary, content);
  renameSync(temporary, join(FOLDER, name));
}

function removeEarlierBuilds() {
  const files = readdirSync(FOLDER).filter((name) => BUILT_FILE.test(name) && !name.includes(hash));
  for (const file of files.map((name) => join(FOLDER, name))) {
    const { mtimeMs } = statSync(file, { throwIfNoEntry: false }) ?? {};
    if (Date.now() - mtimeMs > RETENTION_MS) {
      rmSync(file, { force: true });
    }
  }
}
