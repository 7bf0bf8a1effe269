import Fastify from 'fastify';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createFault, Diagnostics, Execution } from '../../common/diagnostics/index.js';
import { MemoryControlClient } from '../../../tests/support/memoryControlClient.js';
import { OperatorHost } from '../../../tests/support/operatorHost.js';
import { BearerTokens } from './index.js';

vi.mock('fastify', async (importOriginal) => {
  const original = await importOriginal<typeof import('fastify')>();
  return { ...original, default: vi.fn(original.default) };
});

const TICKET = {
  number: 5,
  subjects: [{ kind: 'failure-domain', domain: 'adigrat', inService: false }],
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

let control: MemoryControlClient;
let host: OperatorHost;

beforeEach(async () => {
  control = new MemoryControlClient();
  host = await new OperatorHost(control, {
    operatorTokens: new BearerTokens(['operator-1', 'operator-2']),
    announcerTokens: new BearerTokens(['announcer']),
  }).start();
});

afterEach(() => host.close());

async function request(
  method: string,
  path: string,
  body?: unknown,
  token = 'operator-2',
): Promise<{ status: number; body: unknown; headers: Headers }> {
  const answer = await fetch(`${host.url}${path}`, {
    method,
    headers: {
      authorization: `Bearer ${token}`,
      ...(body === undefined ? {} : { 'content-type': 'application/json' }),
    },
    ...(body === undefined ? {} : { body: typeof body === 'string' ? body : JSON.stringify(body) }),
  });
  const text = await answer.text();
  const isJson = answer.headers.get('content-type')?.startsWith('application/json') ?? false;
  return { status: answer.status, body: isJson ? JSON.parse(text) : text, headers: answer.headers };
}

test('a host that is never asked does not run the library of the routes', async () => {
  const created = vi.mocked(Fastify);
  created.mockClear();
  const unasked = await new OperatorHost(control, {}).start();
  expect(created).toHaveBeenCalledTimes(0);
  const answers = await Promise.all([1, 2].map(() => fetch(`${unasked.url}/healthz`)));
  expect(answers.map(({ status }) => status)).toEqual([200, 200]);
  expect(created).toHaveBeenCalledTimes(1);
  await unasked.close();
});

test('an accepted ticket can be resent and read back, and is reported in force', async () => {
  const first = await request('POST', '/tickets', TICKET);
  const second = await request('POST', '/tickets', TICKET);
  expect(first).toMatchObject({ status: 200, body: { number: 5, outcome: 'accepted' } });
  expect(second.body).toEqual(first.body);
  expect(await request('GET', '/tickets/5')).toMatchObject({ status: 200, body: TICKET });
  const reading = { subject: 'failure-domain/adigrat', ticket: 5, everywhere: true };
  expect(await request('GET', '/in-force/failure-domain/adigrat')).toMatchObject({
    status: 200,
    body: reading,
  });
  expect(await request('GET', '/in-force')).toMatchObject({ body: { subjects: [reading] } });
  expect(host.lines.join('\n')).toContain('code=FP8007');
});

test('a refused ticket is answered with 409 and the reason', async () => {
  await request('POST', '/tickets', TICKET);
  const other = { ...TICKET, subjects: [{ ...TICKET.subjects[0], inService: true }] };
  const { status, body } = await request('POST', '/tickets', other);
  expect({ status, body }).toMatchInlineSnapshot(`
    {
      "body": {
        "code": 6002,
        "detail": "not run",
        "message": "Ticket number 5 belongs to an accepted ticket with other content on failure-domain/adigrat.",
        "step": "ticket.submit",
      },
      "status": 409,
    }
  `);
});

test('unknown tickets, subjects and paths are answered with 404', async () => {
  expect((await request('GET', '/tickets/9')).status).toBe(404);
  expect((await request('GET', '/in-force/account/mill-7')).status).toBe(404);
  const { status, body } = await request('GET', '/nothing');
  expect({ status, body }).toMatchInlineSnapshot(`
    {
      "body": {
        "code": 8003,
        "detail": "not run",
        "message": "GET /nothing was not found.",
        "step": "http.route",
      },
      "status": 404,
    }
  `);
});

test.each([
  ['POST', '/tickets', '{"number":', 400],
  ['POST', '/tickets', { number: 5 }, 400],
  ['POST', '/tickets', 'x'.repeat(1_048_577), 413],
  ['GET', '/tickets/0', undefined, 400],
  ['GET', '/tickets/9999999999999999', undefined, 400],
  ['GET', '/in-force/%zz', undefined, 400],
])('invalid input is refused with a fault body: %s %s', async (method, path, sent, expected) => {
  const { status, body } = await request(method, path, sent);
  expect({ status, body }).toMatchObject({ status: expected, body: { detail: 'not run' } });
  expect(body).toMatchSnapshot();
});

test('a missing lease is answered with 503 and retry-after, an unknown outcome with 504', async () => {
  const context = { step: 'control.submit', peer: 'a2', retryAfterMs: 1_500 };
  control.fault = createFault(Diagnostics.LeaseExpired, {}, context);
  const { status, body, headers } = await request('POST', '/tickets', TICKET);
  expect({ status, body, retryAfter: headers.get('retry-after') }).toMatchInlineSnapshot(`
    {
      "body": {
        "code": 3005,
        "detail": "not run",
        "message": "This daemon holds no lease.",
        "peer": "a2",
        "step": "control.submit",
      },
      "retryAfter": "2",
      "status": 503,
    }
  `);
  control.fault = createFault(
    Diagnostics.OutcomeUnknown,
    {},
    { ...context, execution: Execution.Unknown },
  );
  expect(await request('POST', '/tickets', TICKET)).toMatchObject({
    status: 504,
    body: { detail: 'unknown' },
  });
});

test('operators and backend servers have separate tokens', async () => {
  for (const token of ['announcer', 'operator-3', '']) {
    expect((await request('GET', '/status', undefined, token)).status).toBe(401);
    expect((await request('POST', '/tickets', TICKET, token)).status).toBe(401);
  }
  expect((await request('POST', '/announcements', ANNOUNCEMENT, 'operator-1')).status).toBe(401);
  expect(control.submitted).toEqual([]);
  expect(control.announcements).toEqual([]);
  expect((await request('GET', '/status', undefined, 'operator-1')).status).toBe(200);
});

test('a valid announcement reaches the control client; an invalid one does not', async () => {
  const newer = { ...ANNOUNCEMENT, version: 2 };
  expect((await request('POST', '/announcements', newer, 'announcer')).status).toBe(204);
  const broken = { ...ANNOUNCEMENT, term: -1, address: 'nowhere' };
  const { status, body } = await request('POST', '/announcements', broken, 'announcer');
  expect({ status, body }).toMatchInlineSnapshot(`
    {
      "body": {
        "code": 8001,
        "detail": "not run",
        "message": "The request is invalid: address: expected IP:PORT with an IP number, such as 10.0.1.1:7400; term: Too small: expected number to be >=0",
        "step": "announcement.parse",
      },
      "status": 400,
    }
  `);
  expect(control.announcements).toEqual([ANNOUNCEMENT]);
});

test('health and metrics need no token; ready only with a lease and a current configuration', async () => {
  expect((await request('GET', '/healthz', undefined, '')).status).toBe(200);
  expect((await request('GET', '/metrics', undefined, '')).body).toContain(
    '# TYPE filbertpoint_request_wait_seconds histogram',
  );
  expect((await request('GET', '/readyz', undefined, '')).status).toBe(200);
  host.readiness.report = { hasLease: false, hasCurrentConfiguration: true, isInService: true };
  expect((await request('GET', '/readyz', undefined, '')).status).toBe(503);
  host.readiness.report = { hasLease: true, hasCurrentConfiguration: false, isInService: true };
  const { status, body } = await request('GET', '/readyz', undefined, '');
  expect({ status, body }).toMatchInlineSnapshot(`
    {
      "body": {
        "hasCurrentConfiguration": false,
        "hasLease": true,
        "isInService": true,
        "isReady": false,
      },
      "status": 503,
    }
  `);
});

test('closing answers running requests and refuses new connections', async () => {
  let open: () => void = () => undefined;
  control.gate = new Promise((resolve) => {
    open = resolve;
  });
  const running = request('POST', '/tickets', TICKET);
  await vi.waitFor(() => expect(control.submitted).toHaveLength(1));
  const closed = host.close();
  await vi.waitFor(() => expect(request('GET', '/healthz')).rejects.toThrow('fetch failed'));
  open();
  const { status, body, headers } = await running;
  expect({ status, body }).toMatchObject({ status: 200, body: { outcome: 'accepted' } });
  expect(headers.get('connection')).toBe('close');
  await closed;
});

test('closing does not wait longer than its limit for a request without an answer', async () => {
  control.gate = new Promise(() => undefined);
  const running = request('GET', '/status');
  await vi.waitFor(() => expect(control.requests).toBe(1));
  const closed = host.close();
  host.timer.advance(5_000);
  await expect(running).rejects.toThrow('fetch failed');
  await closed;
});
