import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { PlatformInterfaces } from '../../platform/platformInterfaces.js';
import { readPlatformSettings } from '../../platform/platformSettings.js';

let folder = '';

beforeAll(() => {
  folder = mkdtempSync(join(tmpdir(), 'fencing-setting-'));
});
afterAll(() => rmSync(folder, { recursive: true }));

function read(fencing: string) {
  const file = join(folder, 'settings.toml');
  const lines = [
    ...['node = "a"', 'ip = "127.0.0.1"', 'zone = "north"', 'internalPorts = [7000, 7009]'],
    ...['seeds = ["127.0.0.1:7010"]', 'heartbeatMs = 300', '[listen]'],
    ...['frontend = "127.0.0.1:7020"', '[limits]', 'maxFds = 4000'],
    ...['[bounds]', 'graceS = 6', fencing, ''],
  ];
  writeFileSync(file, lines.join('\n'));
  return readPlatformSettings(file);
}

test.each([
  ['fencing = true', true],
  ['fencing = false', false],
])('"%s" tells control whether the platform fences orders', (fencing, expected) => {
  const { control } = new PlatformInterfaces(read(fencing));
  expect(control.promotion.hasFencedOrders).toBe(expected);
});

test.each(['', 'fencing = 1', 'fencing = "yes"'])(
  'settings that say "%s" are refused with the name of the field',
  (fencing) => {
    expect(() => read(fencing)).toThrow(/fencing/);
  },
);
