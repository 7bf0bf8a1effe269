import fc from 'fast-check';
import { afterEach, beforeEach, expect, test } from 'vitest';
import { createFault, Diagnostics } from '../../src/common/diagnostics/index.js';
import { FrontHost, holdLoop, type RawCaller } from './stoppingCallers.js';

const SEED = 20261205;
const BUSY = /^ERROR BUSY FP2003[^\r]*\r\n$/;
const REFUSED = /^ERROR BUSY FP2003[^\r]*\r\nREADY I -\r\n$/;
const ANSWERED = /^ROW row\r\nDONE signature\r\nREADY I -\r\n/;
/** Longer than a caller that was told of the end is waited for. */
const LEAVE_MS = 1200;
/** Longer than what was cancelled has to be answered. */
const CANCEL_MS = 300;
/** More than the buffers of both ends of a connection hold. */
const LONG_ROW_BYTES = 40_000_000;
/** Time for which a slow caller takes nothing, each time. */
const SLOW_STEP_MS = 600;
/** Longer than a caller that takes nothing is waited for. */
const STALLED_MS = 8000;

let host: FrontHost;

beforeEach(async () => {
  host = new FrontHost();
  await host.front.listen();
});

afterEach(() => host.close());

test('a whole request that lies unread in the socket when a stop begins is answered', async () => {
  const caller = await host.open();
  caller.send('QUERY 1 FETCH a\r\n');
  host.front.drain();
  await host.until(() => caller.hasEnded || caller.isTold);
  expect(caller.received).toMatch(ANSWERED);
});

test('a request that meets the end of its idle session is refused as not run', async () => {
  const caller = await host.open();
  host.front.drain();
  await host.until(() => caller.received !== '');
  caller.send('QUERY 1 PUT a b\r\n');
  await host.until(() => caller.hasEnded);
  expect(caller.received).toMatch(REFUSED);
  expect(host.requests.passed).toEqual([]);
});

test('a request of which half was read when a stop begins is refused as not run', async () => {
  const caller = await host.open();
  caller.send('QUERY 1 PU');
  await host.until(() => caller.socket.bytesWritten > 20 && host.front.count === 1);
  host.front.drain();
  await host.until(() => caller.received !== '');
  caller.send('T a b\r\n');
  await host.until(() => caller.hasEnded);
  expect(caller.received).toMatch(REFUSED);
  expect(host.requests.passed).toEqual([]);
});

test('a caller whose first message lies unread when a stop begins is not cut off', async () => {
  const caller = await host.connect();
  await host.until(() => host.front.count === 1);
  caller.send('CONNECT ledger key\r\n');
  host.front.drain();
  await host.until(() => caller.hasEnded || caller.received.includes('ERROR'));
  expect(caller.received).toMatch(/^(READY I -\r\n)?ERROR BUSY FP2003[^\r]*\r\n/);
});

test('a caller that waits for a first configuration when a stop begins is refused', async () => {
  host.access.hasConfiguration = false;
  const caller = await host.connect();
  caller.send('CONNECT ledger key\r\n');
  await host.until(() => host.front.count === 1);
  host.front.drain();
  await host.until(() => caller.hasEnded);
  expect(caller.received).toMatch(BUSY);
});

test('a caller that connects during a stop gets an answer to its first message', async () => {
  host.front.drain();
  const caller = await host.connect();
  caller.send('CONNECT ledger key\r\n');
  await host.until(() => caller.hasEnded || caller.received.includes('ERROR'));
  expect(caller.received).toMatch(/ERROR BUSY FP2003[^\r]*\r\n/);
});

test('a statement that comes late in a stop is refused at once and not run', async () => {
  host.requests.answersAtOnce = false;
  const caller = await host.open();
  caller.send('QUERY 1 FETCH a\r\n');
  await host.until(() => host.requests.passed.length === 1);
  host.front.drain();
  host.front.finish();
  await host.turn(3);
  caller.send('QUERY 2 PUT a b\r\n');
  await host.turn(3);
  host.requests.passed[0]?.answer();
  await host.until(() => caller.isTold);
  const [answer = '', refusal = '', farewell = ''] = caller.received.split(/(?<=READY I -\r\n)/);
  expect(answer).toMatch(ANSWERED);
  expect(refusal).toMatch(REFUSED);
  expect(farewell).toMatch(BUSY);
  expect(host.requests.passed).toHaveLength(1);
});

test('a transaction that outlives its part of a stop is rolled back and its caller is told', async () => {
  const caller = await host.open();
  caller.send('QUERY 1 BEGIN\r\n');
  caller.send('QUERY 2 PUT a b\r\n');
  await host.until(() => caller.received.endsWith('READY T -\r\n') && caller.take() !== '');
  await host.until(() => host.requests.passed.length === 1 && caller.received === '');
  host.front.drain();
  host.front.finish();
  await host.until(() => caller.received.includes('ERROR'));
  caller.send('QUERY 3 COMMIT\r\n');
  await host.until(() => caller.hasEnded);
  expect(caller.received).toMatch(/^ERROR ABORTED FP3012[^\r]*\r\nREADY I -\r\n$/);
  expect(host.requests.passed.filter(({ draft }) => draft.mayCommit)).toEqual([]);
});

test('requests still under way at the end of a stop get an answer that promises nothing', async () => {
  host.requests.answersAtOnce = false;
  const caller = await host.open();
  caller.send('QUERY 1 PUT a b\r\nQUERY 2 PUT a c\r\n');
  await host.until(() => host.requests.passed.length === 1);
  host.front.drain();
  host.front.close();
  await host.until(() => caller.hasEnded);
  const [first = '', second = ''] = caller.received.split(/(?<=READY I -\r\n)/);
  expect(first).toMatch(/^ERROR UNKNOWN FP3006[^\r]*\r\nREADY I -\r\n$/);
  expect(second).toMatch(REFUSED);
  expect(host.requests.passed).toHaveLength(1);
});

// Guards against a request without an answer or a refusal, sent right after the answer to a cut one (LOST).
test('a request that follows the answer to a cut one is refused before the end', async () => {
  host.requests.answersAtOnce = false;
  const caller = await host.open();
  caller.send('QUERY 1 PUT a b\r\n');
  await host.until(() => host.requests.passed.length === 1);
  host.front.drain();
  host.front.close();
  await host.until(() => caller.received.includes('READY'));
  caller.send('QUERY 2 PUT a c\r\n');
  await host.until(() => caller.hasEnded);
  const [first = '', second = ''] = caller.received.split(/(?<=READY I -\r\n)/);
  expect(first).toMatch(/^ERROR UNKNOWN FP3006[^\r]*\r\nREADY I -\r\n$/);
  expect(second).toMatch(REFUSED);
  expect(host.requests.passed).toHaveLength(1);
});

test('a request that lies unread when the time to leave is over is refused before the end', async () => {
  const caller = await host.open();
  host.front.drain();
  await host.until(() => caller.received !== '');
  await host.turn(1);
  caller.send('QUERY 1 PUT a b\r\n');
  holdLoop(LEAVE_MS);
  await host.until(() => caller.hasEnded);
  expect(caller.received).toMatch(REFUSED);
  expect(host.requests.passed).toEqual([]);
});

test('a request that lies unread when a cancelled one is cut is refused before the end', async () => {
  host.requests.answersAtOnce = false;
  const caller = await host.open();
  caller.send('QUERY 1 FETCH a\r\n');
  await host.until(() => host.requests.passed.length === 1);
  host.front.drain();
  host.front.close();
  await host.turn(3);
  host.requests.passed[0]?.answer();
  await host.until(() => caller.isTold);
  await host.turn(1);
  caller.send('QUERY 2 PUT a b\r\n');
  holdLoop(CANCEL_MS);
  await host.until(() => caller.hasEnded);
  const [answer = '', refusal = ''] = caller.received.split(/(?<=READY I -\r\n)/);
  expect(answer).toMatch(ANSWERED);
  expect(refusal).toMatch(REFUSED);
  expect(host.requests.passed).toHaveLength(1);
});

test('a refused caller that keeps its connection open is reported once', async () => {
  const refusal = createFault(Diagnostics.RouteUnknown, { database: 'x' }, { step: 'test' });
  host.access.refusal = refusal;
  const caller = await host.connect();
  caller.send('CONNECT nowhere key\r\n');
  await host.until(() => caller.received !== '');
  host.front.recordsChanged();
  host.front.recordsChanged();
  expect(host.lines.filter((line) => line.includes('code=FP'))).toHaveLength(1);
});

// Guards against a stop that cuts an answer whose caller still takes it.
test.each(['drain', 'close'] as const)(
  'a caller that is slow to take its answer gets the whole of it (%s)',
  async (stage) => {
    host.requests.answersAtOnce = false;
    const caller = await host.open();
    caller.send('QUERY 1 FETCH a\r\n');
    await host.until(() => host.requests.passed.length === 1);
    host.requests.passed[0]?.answer('x'.repeat(LONG_ROW_BYTES));
    await host.until(() => caller.received !== '');
    host.front[stage]();
    for (let taken = caller.received.length; !caller.isTold && !caller.hasEnded;) {
      caller.socket.pause();
      await host.sleep(SLOW_STEP_MS);
      caller.socket.resume();
      await host.until(() => caller.received.length > taken || caller.hasEnded);
      taken = caller.received.length;
    }
    const [row = '', ...rest] = caller.received.split('\r\n');
    expect(row).toHaveLength('ROW '.length + LONG_ROW_BYTES);
    expect(rest.slice(0, 2)).toEqual(['DONE signature', 'READY I -']);
    expect(caller.isTold).toBe(true);
  },
);

test('a caller that takes nothing of its last answer is disconnected after a while', async () => {
  host.requests.answersAtOnce = false;
  const caller = await host.open();
  caller.socket.pause();
  caller.send('QUERY 1 FETCH a\r\n');
  await host.until(() => host.requests.passed.length === 1);
  host.requests.passed[0]?.answer('x'.repeat(LONG_ROW_BYTES));
  await host.turn(3);
  host.front.close();
  const endMs = host.timer.now() + STALLED_MS;
  while (host.front.count > 0 && host.timer.now() < endMs) {
    await host.until(() => host.front.count === 0);
  }
  expect(host.front.count).toBe(0);
});

/** Whole replies and refusals in what a caller was sent, without the farewell to an idle one. */
function countReplies({ received }: RawCaller): number {
  return received.split('READY ').length - 1;
}

test('whatever arrives whole before a stop closes a connection is answered or refused', async () => {
  const plan = fc.record({
    before: fc.nat({ max: 2 }),
    turns: fc.nat({ max: 3 }),
    late: fc.boolean(),
    finishes: fc.boolean(),
    held: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(plan, async ({ before, turns, late, finishes, held }) => {
      const fresh = new FrontHost();
      await fresh.front.listen();
      fresh.requests.answersAtOnce = !held;
      const caller = await fresh.open();
      caller.send('QUERY 1 FETCH a\r\n'.repeat(before));
      await fresh.turn(turns);
      fresh.front.drain();
      if (finishes) {
        fresh.front.finish();
      }
      // A caller sends one statement at a time: a late one only when nothing is outstanding.
      const sendsLate = late && before === 0;
      if (sendsLate) {
        await fresh.until(() => caller.received !== '' || caller.hasEnded);
        caller.send('QUERY 9 PUT a b\r\n');
      }
      if (held) {
        await fresh.turn(1);
        fresh.front.close();
      }
      await fresh.until(() => caller.hasEnded || caller.isTold);
      caller.socket.end();
      await fresh.until(() => caller.hasEnded);
      expect(countReplies(caller)).toBe(before + (sendsLate ? 1 : 0));
      fresh.close();
    }),
    { seed: SEED, numRuns: 60 },
  );
});

/** Sends a statement and waits for its reply; the host behind may never answer it. */
async function ask(fresh: FrontHost, caller: RawCaller, text: string, mayAnswer: boolean) {
  const { passed } = fresh.requests;
  const known = passed.length;
  caller.take();
  caller.send(`QUERY 1 ${text}\r\n`);
  await fresh.until(() => passed.length > known || caller.received !== '' || caller.hasEnded);
  if (mayAnswer) {
    passed[known]?.answer();
  }
  await fresh.until(() => caller.received.includes('READY ') || caller.hasEnded);
  return caller.received;
}

test('a stop at any moment of a transaction refuses only what was not committed', async () => {
  const stage = fc.constantFrom('drain' as const, 'finish' as const);
  const plan = fc.record({
    ...{ atStatement: fc.nat({ max: 2 }), turns: fc.nat({ max: 4 }), answers: fc.boolean() },
    ...{ stages: fc.array(stage, { maxLength: 2 }), between: fc.nat({ max: 3 }) },
  });
  const seen = new Set<string>();
  await fc.assert(
    fc.asyncProperty(plan, async ({ atStatement, turns, answers, stages, between }) => {
      const fresh = new FrontHost();
      await fresh.front.listen();
      fresh.requests.answersAtOnce = false;
      const caller = await fresh.open();
      const stop = async (): Promise<void> => {
        await fresh.turn(turns);
        for (const each of [...stages, 'close' as const]) {
          fresh.front[each]();
          await fresh.turn(between);
        }
      };
      for (const [index, text] of ['BEGIN', 'PUT a b', 'COMMIT'].entries()) {
        const isStopped = index === atStatement;
        const [reply] = await Promise.all([
          ask(fresh, caller, text, answers || !isStopped),
          isStopped ? stop() : undefined,
        ]);
        expect(reply).toMatch(/READY [ITE] /);
        const [, code = 'DONE'] = /^ERROR (\w+)/.exec(reply) ?? [];
        seen.add(`${text} ${code}`);
        const commits = fresh.requests.passed.filter(({ draft }) => draft.mayCommit);
        expect(['BUSY', 'ABORTED'].includes(code) && commits.length > 0).toBe(false);
        if (reply.includes('ERROR')) {
          break;
        }
      }
      caller.socket.destroy();
      fresh.close();
    }),
    { seed: SEED, numRuns: 60 },
  );
  for (const each of ['PUT a b ABORTED', 'COMMIT DONE', 'COMMIT UNKNOWN']) {
    expect(seen).toContain(each);
  }
});
