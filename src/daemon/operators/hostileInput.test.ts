import { connect } from 'node:net';
import fc from 'fast-check';
import { afterEach, beforeEach, expect, test } from 'vitest';
import { MemoryControlClient } from '../../../tests/support/memoryControlClient.js';
import { OperatorHost } from '../../../tests/support/operatorHost.js';
import { tryParseTicket } from '../../decisions/tickets/index.js';
import { BearerTokens, tryParseAnnouncement } from './index.js';

const SEED = 20261204;
const MAXIMUM_ANSWER_BYTES = 40_000;
const FAULT: unknown = expect.objectContaining({
  code: expect.any(Number) as unknown,
  message: expect.any(String) as unknown,
  detail: 'not run',
});

const TICKET = {
  number: 5,
  subjects: [
    { kind: 'failure-domain', domain: 'adigrat', inService: false },
    { kind: 'backend-server', group: 'ledger-1', instance: 'ledger-1-b', leaving: true },
    { kind: 'route', route: 'ledger', group: 'ledger-1', accounts: ['mill-7'] },
  ],
};
const ANNOUNCEMENT = {
  group: 'ledger-1',
  instance: 'ledger-1-a',
  domain: 'mekelle',
  address: '127.0.1.1:5432',
  platform: '127.0.1.1:8008',
  role: 'primary',
  term: 4,
  position: 1200,
  slots: 5,
  connectionLimit: 50,
  leaving: false,
};

const POST_HEAD = [
  'POST /announcements HTTP/1.1',
  'Host: a1',
  'Content-Type: application/json',
  'Content-Length: 9',
  '',
].join('\r\n');

let control: MemoryControlClient;
let host: OperatorHost;

beforeEach(async () => {
  control = new MemoryControlClient();
  const tokens = new BearerTokens(['secret']);
  const access = { operatorTokens: tokens, announcerTokens: tokens };
  host = await new OperatorHost(control, access, 500).start();
});

afterEach(() => host.close());

// Guards against a ticket or announcement that is taken with other texts than were sent.
test('a body that is not valid UTF-8 is refused', async () => {
  for (const [path, content] of [
    ['/tickets', JSON.stringify(TICKET)],
    ['/announcements', JSON.stringify(ANNOUNCEMENT)],
  ] as const) {
    const body = Buffer.from(content.replace('ledger-1', 'ledger\u00e9'), 'latin1');
    const response = await fetch(`${host.url}${path}`, {
      ...{ method: 'POST', body },
      headers: { authorization: 'Bearer secret', 'content-type': 'application/json' },
    });
    expect([path, response.status, await response.json()]).toMatchObject([
      path,
      400,
      { code: 8001 },
    ]);
  }
  expect(control.submitted).toEqual([]);
  expect(control.announcements).toEqual([]);
});

/** Generates variants of a value in which any part may be replaced by any JSON value. */
function mutate(value: unknown): fc.Arbitrary<unknown> {
  const other = fc.oneof(
    fc.jsonValue({ maxDepth: 2 }),
    fc.constantFrom(-1, 0, 1e308, Number.MAX_SAFE_INTEGER + 1, '', 'x'.repeat(70), '::1', null),
  );
  let same: fc.Arbitrary<unknown> = fc.constant(value);
  if (Array.isArray(value)) {
    same = fc.tuple(...value.map(mutate));
  } else if (typeof value === 'object' && value !== null) {
    const fields = Object.entries(value).map(([key, each]) => [key, mutate(each)]);
    const model = Object.fromEntries(fields) as Record<string, fc.Arbitrary<unknown>>;
    same = fc.oneof(
      { weight: 9, arbitrary: fc.record(model) },
      { weight: 1, arbitrary: fc.record(model, { requiredKeys: [] }) },
    );
  }
  return fc.oneof({ weight: 19, arbitrary: same }, { weight: 1, arbitrary: other });
}

async function post(path: string, body: string): Promise<{ status: number; body: unknown }> {
  const answer = await fetch(`${host.url}${path}`, {
    method: 'POST',
    headers: { authorization: 'Bearer secret', 'content-type': 'application/json' },
    body,
  });
  const text = await answer.text();
  expect(text.length).toBeLessThan(MAXIMUM_ANSWER_BYTES);
  return { status: answer.status, body: text === '' ? undefined : JSON.parse(text) };
}

/** Sends bytes, half-closes the connection if `isEnded`, and reads until the server closes it. */
function sendRaw(bytes: Buffer, isEnded: boolean): Promise<string> {
  const { hostname, port } = new URL(host.url);
  return new Promise((resolve) => {
    const socket = connect(Number(port), hostname);
    const chunks: Buffer[] = [];
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => resolve(Buffer.concat(chunks).toString('latin1')));
    socket.write(bytes);
    if (isEnded) {
      socket.end();
    }
  });
}

async function expectHealthy(): Promise<void> {
  expect((await fetch(`${host.url}/healthz`)).status).toBe(200);
}

test('any ticket body is either submitted as a valid ticket or refused with a fault', async () => {
  const body = fc.oneof(
    { weight: 4, arbitrary: mutate(TICKET).map((value) => JSON.stringify(value)) },
    { weight: 1, arbitrary: fc.string({ unit: 'binary', maxLength: 300 }) },
  );
  const statuses = new Set<number>();
  await fc.assert(
    fc.asyncProperty(body, async (text) => {
      control.submitted.length = 0;
      const answer = await post('/tickets', text);
      statuses.add(answer.status);
      if (answer.status === 400) {
        expect(answer.body).toEqual(FAULT);
        expect(control.submitted).toEqual([]);
      } else {
        expect(control.submitted).toHaveLength(1);
        expect(tryParseTicket(control.submitted[0]).isOk()).toBe(true);
      }
    }),
    { seed: SEED, numRuns: 600 },
  );
  expect([...statuses].sort()).toEqual([200, 400, 409]);
});

test('any announcement is either accepted or refused with a fault', async () => {
  await fc.assert(
    fc.asyncProperty(mutate(ANNOUNCEMENT), async (value) => {
      control.announcements.length = 0;
      const answer = await post('/announcements', JSON.stringify(value));
      const isAccepted = answer.status === 204;
      expect(control.announcements).toHaveLength(isAccepted ? 1 : 0);
      if (!isAccepted) {
        expect(answer).toMatchObject({ status: 400, body: FAULT });
      }
    }),
    { seed: SEED, numRuns: 600 },
  );
});

test('an accepted announcement has only known fields of bounded size', () => {
  fc.assert(
    fc.property(mutate({ ...ANNOUNCEMENT, more: 'x' }), (value) => {
      const parsed = tryParseAnnouncement(value);
      if (parsed.isOk()) {
        expect(Object.keys(parsed.value).sort()).toEqual(Object.keys(ANNOUNCEMENT).sort());
        expect(JSON.stringify(parsed.value).length).toBeLessThan(1_000);
      }
    }),
    { seed: SEED, numRuns: 5_000 },
  );
});

test.each([
  ['deep arrays', '['.repeat(500_000)],
  ['deep objects', '{"a":'.repeat(180_000)],
  ['a prototype', '{"__proto__": {"number": 1}, "number": 1}'],
  ['many subjects', JSON.stringify({ number: 1, subjects: new Array(50_000).fill({ kind: 'x' }) })],
])('a ticket with %s is refused', async (_case, text) => {
  expect(await post('/tickets', text)).toMatchObject({ status: 400, body: FAULT });
  await expectHealthy();
});

test('malformed requests close only their own connection', async () => {
  const body = JSON.stringify(TICKET);
  const validRequest = [
    'POST /tickets HTTP/1.1',
    'Host: a1',
    'Authorization: Bearer wrong',
    'Content-Type: application/json',
    `Content-Length: ${body.length}`,
    'Connection: close',
    '',
    body,
  ].join('\r\n');
  const change = fc.record({
    at: fc.nat({ max: validRequest.length }),
    removed: fc.nat({ max: 6 }),
    added: fc.uint8Array({ maxLength: 6 }),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(change, { minLength: 1, maxLength: 4 }), async (changes) => {
      const bytes = changes.reduce(
        (text, { at, removed, added }) =>
          Buffer.concat([text.subarray(0, at), Buffer.from(added), text.subarray(at + removed)]),
        Buffer.from(validRequest),
      );
      const answer = await sendRaw(bytes, true);
      expect(answer === '' || /^HTTP\/1\.1 [24]\d\d /.test(answer)).toBe(true);
    }),
    { seed: SEED, numRuns: 400 },
  );
  expect(control.submitted).toEqual([]);
  await expectHealthy();
});

test.each([
  ['no request', '', 408],
  ['half a header', 'GET /status HTTP/1.1\r\nHost: a', 408],
  ['half a body', `${POST_HEAD}Authorization: Bearer secret\r\n\r\n{`, 408],
  ['half a body and no token', `${POST_HEAD}\r\n{`, 401],
  ['no HTTP', '\0\0\0\u0008\u0004\u00d2\u0016/', 400],
  ['a header too large', `GET / HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(40_000)}\r\n\r\n`, 431],
])('a connection with %s is answered and closed', async (_case, text, status) => {
  const answer = await sendRaw(Buffer.from(text, 'latin1'), false);
  expect(answer.slice(0, 13)).toBe(`HTTP/1.1 ${status} `);
  expect(JSON.parse(answer.slice(answer.indexOf('\r\n\r\n') + 4))).toEqual(FAULT);
  await expectHealthy();
});

test('any authorization header without a valid token is refused', async () => {
  const header = fc.oneof(
    fc.string({ unit: fc.constantFrom('B', 'e', 'a', 'r', ' ', 's', 'c', 't', '=', '"', ',') }),
    fc.stringMatching(/^[Bb]earer {0,3}[\x21-\x7e]{0,40}$/),
  );
  await fc.assert(
    fc.asyncProperty(header, async (authorization) => {
      fc.pre(!/^Bearer +secret *$/i.test(authorization));
      const answer = await fetch(`${host.url}/status`, { headers: { authorization } });
      expect(answer.status).toBe(401);
      expect(await answer.json()).toEqual(FAULT);
    }),
    { seed: SEED, numRuns: 300 },
  );
});
