import { describe, expect, test } from 'vitest';
import { ManualTimerService } from '../../src/common/timer/index.js';
import { TransactionStatus } from '../../src/daemon/requests/index.js';
import type { SeenStatement } from '../../standin/lines/index.js';
import { BackendWatch, OWNER } from './backendWatch.js';
import { CallerLedger, type SoakRequest } from './callerLedger.js';
import { drawSchedule, PLANNED_KINDS } from './faultSchedule.js';
import { HarmLog } from './harmLog.js';
import { drawRushes } from './rushSchedule.js';
import { createSoakRandom } from './soakRandom.js';

const SENT: SoakRequest = {
  ...{ id: 'item0-1-1', text: 'PUT item0 1', node: 'edge-1', account: 'mill' },
  ...{ item: 'item0', sentMs: 10_000 },
};
const SEEN: SeenStatement = {
  ...{ instance: 'i-1', domain: 'north-a', account: 'mill', id: SENT.id, text: SENT.text },
  ...{ values: new Map([[OWNER, 'item0']]), transaction: undefined },
};

function create() {
  const timer = new ManualTimerService();
  const harms = new HarmLog(timer);
  const ledger = new CallerLedger(harms, timer);
  ledger.asked(SENT);
  return { harms, ledger, watch: new BackendWatch(ledger, timer) };
}

test('what a caller sent passes, also behind a position', () => {
  const { ledger, watch } = create();
  watch.see(SEEN);
  watch.see({ ...SEEN, text: `AFTER 1.7 ${SENT.text}`, transaction: [SENT.id] });
  expect(ledger.violations).toEqual([]);
});

test.each<[string, Partial<SeenStatement>]>([
  ['that nobody sent', { id: 'item0-1-2' }],
  ['with another text', { text: 'PUT item0 2' }],
  ['for another account', { account: 'press' }],
  ['with the values of another session', { values: new Map([[OWNER, 'item1']]) }],
  ['with a key', { text: 'PUT item0 key-mill' }],
  ['inside the transaction of another caller', { transaction: ['item1-1-1'] }],
])('a statement %s is found', (_, wrong) => {
  const { ledger, watch } = create();
  watch.see({ ...SEEN, ...wrong });
  expect(ledger.violations).not.toEqual([]);
});

describe('a request whose connection ended', () => {
  const cut = {
    ...{ request: SENT, node: 'edge-1', name: 'item0-1', status: TransactionStatus.Idle },
    ...{ endMs: SENT.sentMs + 100, isOwn: false },
  };

  test('is lost when an instance got it, however soon', () => {
    const { ledger } = create();
    ledger.cut(cut);
    expect(ledger.judgeCuts(() => true)).toHaveLength(1);
    expect(ledger.judgeCuts(() => false)).toEqual([]);
  });

  test('is lost when the daemon had time to read it', () => {
    const { ledger } = create();
    ledger.cut({ ...cut, endMs: SENT.sentMs + 300 });
    expect(ledger.judgeCuts(() => false)).toHaveLength(1);
  });

  describe('at a host that stops while processes get no processor', () => {
    function createStop(isOrderly: boolean) {
      const timer = new ManualTimerService();
      const harms = new HarmLog(timer);
      const ledger = new CallerLedger(harms, timer);
      timer.advance(SENT.sentMs - 50);
      harms.noteStop('edge-1').isOrderly = isOrderly;
      harms.noteSlowed(SENT.sentMs, SENT.sentMs + 400);
      return { timer, ledger };
    }

    test.each([
      [true, 400, 1],
      [true, 200, 0],
      [false, 400, 0],
    ])('ends in order %s, open for %i ms: %i lost', (isOrderly, openMs, lost) => {
      const { timer, ledger } = createStop(isOrderly);
      timer.advance(50 + openMs);
      ledger.cut({ ...cut, endMs: timer.now() });
      expect(ledger.judgeCuts(() => false)).toHaveLength(lost);
    });

    test('is not lost when the end may have come before the request', () => {
      const { timer, ledger } = createStop(true);
      timer.advance(50);
      // The caller's own process had no processor: it looked at nothing meanwhile.
      ledger.cut({ ...cut, endMs: SENT.sentMs + 400 });
      expect(ledger.judgeCuts(() => false)).toEqual([]);
    });
  });

  test('is not judged beside an unplanned fault', () => {
    const { harms, ledger } = create();
    harms.begin();
    ledger.cut(cut);
    expect(ledger.judgeCuts(() => true)).toEqual([]);
  });
});

test('a transaction that a stop cuts too soon is found', () => {
  const { harms, ledger } = create();
  harms.noteStop('edge-1');
  const cut = { request: undefined, node: 'edge-1', name: 'item0-1', isOwn: false };
  ledger.cut({ ...cut, status: TransactionStatus.Open, endMs: 2900 });
  ledger.cut({ ...cut, status: TransactionStatus.Open, endMs: 3100 });
  expect(ledger.judgeCuts(() => false)).toHaveLength(1);
});

test('more requests than rate and burst allow are found', () => {
  const { ledger, watch } = create();
  for (let count = 0; count < 11; count += 1) {
    ledger.asked({ ...SENT, id: `r${count}` });
    watch.see({ ...SEEN, id: `r${count}` });
  }
  expect(watch.judgeRate('mill', 3, 4, 0)).toHaveLength(1);
  expect(watch.judgeRate('mill', 3, 5, 0)).toEqual([]);
});

test('a seed draws the same faults again, others draw others, and they overlap', () => {
  const draw = (seed: number) => drawSchedule(createSoakRandom(seed, 1), 20_000, 6);
  const schedule = draw(1001);
  expect(draw(1001)).toEqual(schedule);
  const overlaps = schedule.filter(
    ({ atMs, lengthMs }, index) => (schedule[index + 1]?.atMs ?? Infinity) < atMs + lengthMs,
  );
  expect(overlaps.length).toBeGreaterThan(5);
  const firstKinds = Array.from({ length: 50 }, (_, index) => draw(1001 + index)[0]?.kind);
  expect(new Set(firstKinds).size).toBe(PLANNED_KINDS.length);
});

test('rushes draw the same again, stop several hosts at once, and leave a seed its other faults', () => {
  const draw = (seed: number) => drawRushes(createSoakRandom(seed, 500), 20_000);
  expect(draw(1001)).toEqual(draw(1001));
  const rushes = Array.from({ length: 20 }, (_, index) => draw(1001 + index)).flat();
  expect(rushes.some(({ stopsMs }) => stopsMs.length === 0)).toBe(true);
  expect(Math.max(...rushes.map(({ stopsMs }) => stopsMs.length))).toBe(3);
});
