import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { expect, test } from 'vitest';

const ROOT = new URL('../..', import.meta.url).pathname;
/** Names that only the platform uses; the adapter decodes them. */
const NAMES = [
  ...['apiKeys', 'ratePerS', 'txIdleMs', 'maxConns', 'syncReplicas', 'maxStalenessMs'],
  ...['dbRole', 'heartbeatAddr', 'warmupLeftMs', 'Fence-Token', 'fence-token', 'lease-holder'],
  ...['cloudApi', 'seedLagS', 'graceS', 'internalPorts', 'Config.Replace', 'Drain.Begin'],
  ...['Instances.Heartbeat', "'LAGGING'", "'NOSTMT'", "'TOOMANY'", "'DEALLOC'", "'NOAUTH'"],
  ...["'read_your_writes'", 'FILBERTPOINT_SETTINGS'],
];

function readSources(folder: string): readonly (readonly [file: string, text: string])[] {
  return readdirSync(join(ROOT, folder), { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.ts') && !file.endsWith('.test.ts'))
    .map((file) => [`${folder}/${file}`, readFileSync(join(ROOT, folder, file), 'utf8')] as const);
}

test('no name of the platform stands in the product', () => {
  const found = readSources('src').flatMap(([file, text]) =>
    NAMES.filter((name) => text.includes(name)).map((name) => `${file}: ${name}`),
  );
  expect(found).toEqual([]);
});

test('the adapter is less than an eighth of the product', () => {
  const count = (folder: string): number =>
    readSources(folder).reduce((sum, [, text]) => sum + text.split('\n').length, 0);
  expect(count('platform') * 8).toBeLessThan(count('src'));
});
