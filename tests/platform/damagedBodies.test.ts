import fc from 'fast-check';
import { afterAll, beforeAll, beforeEach, expect, test } from 'vitest';
import { findFreePorts } from '../../bench/fleet/freePorts.js';
import { ControlFront } from '../../platform/http/controlFront.js';
import { Logger } from '../../src/common/logging/index.js';
import { SystemTimerService } from '../../src/common/timer/index.js';
import { SubjectKind } from '../../src/decisions/tickets/index.js';
import { callControl } from '../../standin/lines/index.js';
import { MemoryControlClient } from '../support/memoryControlClient.js';
import { SettableReadiness } from '../support/operatorHost.js';

const SEED = 20_261_206;
const TEXTS = ['grain-host', '/path-a', 'route-name', 'ledger-a', 'harvest-key', 'mill-a'] as const;
const [HOST, PREFIX, ROUTE, SERVICE, KEY, TENANT] = TEXTS;
const CONFIGURATION = JSON.stringify({
  version: 5,
  routes: [
    {
      ...{ name: ROUTE, host: HOST, prefix: PREFIX, kind: 'primary', service: SERVICE },
      ...{ timeoutMs: 1000, targetLatencyMs: 200, priority: 1, attempts: 2, public: false },
    },
  ],
  services: [{ name: SERVICE, maxConns: 16, syncReplicas: 1 }],
  tenants: [{ name: TENANT, apiKeys: [KEY, 'klíč-🔑'], priority: 1, ratePerS: 88, burst: 88 }],
});
const HEARTBEAT = JSON.stringify({
  ...{ service: SERVICE, addr: '10.128.0.9:8080', zone: 'mekelle', version: 'v1', slots: 5 },
  ...{ state: 'ready', warmupLeftMs: 0, dbRole: 'replica', seq: 4, born: 1_700_000_000_000 },
});
/** Bytes that are no UTF-8, each in the place of one letter. */
const DAMAGES = {
  'a letter in Latin-1': [0xe9],
  'a byte that never occurs': [0xff],
  'a cut sequence': [0xe2, 0x82],
  'an overlong sequence': [0xc0, 0xaf],
  'half of a surrogate pair': [0xed, 0xa0, 0x80],
  'a character out of range': [0xf4, 0x90, 0x80, 0x80],
};

let control: MemoryControlClient;
let front: ControlFront;
let address = '';

beforeAll(async () => {
  const [port = 0] = await findFreePorts('127.0.0.1', 1);
  address = `127.0.0.1:${port}`;
  control = new MemoryControlClient();
  const logger = new Logger('error', {}, () => undefined);
  const readiness = new SettableReadiness();
  front = new ControlFront({
    ...{ listen: address, control, readiness, logger },
    timer: new SystemTimerService(),
  });
  await front.start();
});
beforeEach(() => {
  control.submitted.length = 0;
  control.announcements.length = 0;
  control.departures.length = 0;
});
afterAll(() => front.stop());

async function post(path: string, body: string | Uint8Array): Promise<number> {
  const { status } = await callControl(address, 'POST', `/filbertpoint/${path}`, body);
  return status;
}

/** The bytes of a text with one letter replaced by others. */
function damage(text: string, offset: number, bytes: readonly number[]): Buffer {
  const intact = Buffer.from(text);
  return Buffer.concat([
    intact.subarray(0, offset),
    Buffer.from(bytes),
    intact.subarray(offset + 1),
  ]);
}

// Guards against a configuration that can't be read in full and is acknowledged with other texts (CONFIG).
test.each(Object.entries(DAMAGES))('a configuration with %s is refused', async (_, bytes) => {
  for (const text of TEXTS) {
    const offset = Buffer.from(CONFIGURATION).indexOf(text) + 3;
    const body = damage(CONFIGURATION, offset, bytes);
    expect([text, await post('Config.Replace', body)]).toEqual([text, 400]);
  }
  expect(control.submitted).toEqual([]);
});

// Guards against keys that pass for each other as no bytes encode them.
test('a configuration with half of a character as an escape is refused, a whole one is not', async () => {
  const withKey = (key: string): string => CONFIGURATION.replace(KEY, key);
  for (const key of ['\\ud800', 'a\\uDC00b', '\\udc00\\ud800', '\\\\\\ud83d x']) {
    expect([key, await post('Config.Replace', withKey(key))]).toEqual([key, 400]);
  }
  expect(control.submitted).toEqual([]);
  for (const key of ['\\ud83d\\udd11', '\\\\ud800', 'ordinary']) {
    expect([key, await post('Config.Replace', withKey(key))]).toEqual([key, 200]);
  }
});

test('reports of instances with bytes that are no text name no instance', async () => {
  for (const bytes of Object.values(DAMAGES)) {
    for (const text of [SERVICE, 'mekelle', 'v1']) {
      const body = damage(HEARTBEAT, HEARTBEAT.indexOf(text) + 1, bytes);
      expect(await post('Instances.Heartbeat/i-1', body)).toBe(400);
    }
    const departure = damage('{"born":7,"why":"x"}', 17, bytes);
    expect(await post('Instances.Deregister/i-1', departure)).toBe(400);
  }
  expect(control.announcements).toEqual([]);
  expect(control.departures).toEqual([]);
  expect(await post('Instances.Heartbeat/i-1', HEARTBEAT)).toBe(200);
});

test('whatever bytes are damaged, what is acknowledged is what was sent', async () => {
  const intact = Buffer.from(CONFIGURATION);
  const changes = fc.array(fc.tuple(fc.nat({ max: intact.length - 1 }), fc.nat({ max: 255 })), {
    minLength: 1,
    maxLength: 3,
  });
  await fc.assert(
    fc.asyncProperty(changes, fc.option(fc.nat({ max: intact.length })), async (bytes, cut) => {
      const body = Buffer.from(intact);
      for (const [offset, byte] of bytes) {
        body[offset] = byte;
      }
      const sent = body.subarray(0, cut ?? body.length);
      control.submitted.length = 0;
      const status = await post('Config.Replace', sent);
      const sources = control.submitted.flatMap(({ subjects }) =>
        subjects.map((state) => state.kind === SubjectKind.Configuration && state.source),
      );
      expect(sources.map((source) => Buffer.from(String(source)))).toEqual(
        status === 200 ? [sent] : [],
      );
    }),
    { seed: SEED, numRuns: 500 },
  );
});
