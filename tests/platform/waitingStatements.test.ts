import { afterEach, beforeEach, expect, test } from 'vitest';
import { createFault, Diagnostics } from '../../src/common/diagnostics/index.js';
import { FrontHost } from './stoppingCallers.js';

const STATEMENTS = 60;
/** Almost the longest message that the protocol allows. */
const LARGE = 'x'.repeat(1_048_000);
/** Longer than a host takes to read everything that a caller sends here. */
const READING_MS = 1000;

let host: FrontHost;

beforeEach(async () => {
  host = new FrontHost();
  await host.front.listen();
});

afterEach(() => host.close());

// Guards against callers that fill the memory of their host with statements sent ahead (Fault).
test('a host reads no further while long statements wait, and answers each in the end', async () => {
  host.requests.answersAtOnce = false;
  const caller = await host.open();
  const texts = Array.from({ length: STATEMENTS }, (_, index) => `QUERY ${index} PUT a ${LARGE}`);
  caller.send(`${texts.join('\r\n')}\r\n`);
  await host.sleep(READING_MS);
  expect(host.requests.passed).toHaveLength(1);
  expect(caller.socket.writableLength).toBeGreaterThan(0);

  host.requests.answersAtOnce = true;
  host.requests.passed[0]?.answer();
  await host.until(() => host.requests.passed.length === STATEMENTS);
  await host.until(() => caller.received.split('READY ').length === STATEMENTS + 1);
  expect(host.requests.passed.map(({ draft }) => draft.trace)).toEqual(
    texts.map((_, index) => `${index}`),
  );
  expect(caller.received).not.toContain('ERROR');
});

// Guards against a statement that runs without a right after it was queued again (CONFIG).
test('a statement whose caller lost its rights is revoked for as long as it is unanswered', async () => {
  host.requests.answersAtOnce = false;
  const caller = await host.open();
  caller.send('QUERY 1 FETCH a\r\n');
  await host.until(() => host.requests.passed.length === 1);
  const [request] = host.requests.passed;
  host.front.recordsChanged();
  expect(request?.revocations).toBe(0);
  host.access.refusal = createFault(Diagnostics.KeyRefused, { account: 'mill' }, { step: 'test' });
  host.front.recordsChanged();
  host.front.recordsChanged();
  expect(request?.revocations).toBe(2);
});
