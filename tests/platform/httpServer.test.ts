import { request as httpRequest } from 'node:http';
import { connect } from 'node:net';
import { afterEach, beforeEach, expect, test } from 'vitest';
import { findFreePorts } from '../../bench/fleet/freePorts.js';
import { HttpServer, type HttpReply, type HttpRoute } from '../../platform/http/httpServer.js';
import { SystemTimerService } from '../../src/common/timer/index.js';

const IP = '127.0.0.1';
const MAXIMUM_BODY_BYTES = 100;
const timer = new SystemTimerService();

let port = 0;
let server: HttpServer;
let failures: string[];

beforeEach(async () => {
  [port = 0] = await findFreePorts(IP, 1);
  failures = [];
  const limit = { maximumBodyBytes: MAXIMUM_BODY_BYTES };
  const routes: readonly HttpRoute[] = [
    { ...limit, method: 'GET', path: '/ready', answer: () => ({ status: 200 }) },
    {
      ...limit,
      method: 'POST',
      path: '/echo/{}',
      answer: ({ body }, parameter) => ({ status: 200, body: `${parameter} ${body}` }),
    },
    {
      ...limit,
      method: 'GET',
      path: '/broken',
      answer: (): HttpReply => {
        throw new Error('no answer');
      },
    },
  ];
  server = new HttpServer(routes, timer, (reason) => failures.push(reason));
  await server.start(`${IP}:${port}`);
});
afterEach(() => server.stop());

function call(method: string, path: string, body = ''): Promise<[number, string]> {
  return new Promise((resolve, reject) => {
    const request = httpRequest({ host: IP, port, method, path, agent: false }, (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => (text += chunk));
      response.on('end', () => resolve([response.statusCode ?? 0, text]));
    });
    request.on('error', reject);
    request.end(body);
  });
}

/** Sends bytes over a connection; resolves with the answer once the connection has ended. */
function send(bytes: string | Buffer): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    const socket = connect(port, IP, () => socket.end(bytes));
    socket.on('data', (chunk) => (text += chunk.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(text));
  });
}

test('a request is answered by its method and path', async () => {
  expect(await call('GET', '/ready')).toEqual([200, '']);
  expect(await call('GET', '/ready?deep=1')).toEqual([200, '']);
  expect(await call('POST', '/echo/a%20b', 'text')).toEqual([200, 'a b text']);
  expect(await call('POST', '/ready')).toEqual([404, '']);
  expect(await call('GET', '/readyz')).toEqual([404, '']);
  expect(await call('POST', '/echo/')).toEqual([404, '']);
  expect(await call('POST', '/echo/a/b')).toEqual([404, '']);
  expect(await call('POST', `/echo/${'x'.repeat(300)}`)).toEqual([404, '']);
});

test('a body beyond the limit is refused', async () => {
  expect(await call('POST', '/echo/a', 'x'.repeat(MAXIMUM_BODY_BYTES))).toMatchObject([200, {}]);
  expect(await call('POST', '/echo/a', 'x'.repeat(MAXIMUM_BODY_BYTES + 1))).toEqual([413, '']);
});

test('an answer that fails is reported and ends as an internal error', async () => {
  expect(await call('GET', '/broken')).toEqual([500, '']);
  expect(failures).toEqual(['no answer']);
});

test('malformed requests end their connection alone', async () => {
  const malformed = [
    'nonsense\r\n\r\n',
    'GET /echo/%ZZ HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n',
    'POST /echo/%E0%A4%A HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\nconnection: close\r\n\r\nab',
    'POST /echo/a HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\nshort',
    'POST /echo/a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nZZ\r\n',
    Buffer.from(Array.from({ length: 500 }, (_, index) => (index * 151) % 256)),
  ];
  for (const bytes of malformed) {
    expect(await send(bytes)).not.toContain(' 200 ');
  }
  expect(await call('GET', '/ready')).toEqual([200, '']);
});
