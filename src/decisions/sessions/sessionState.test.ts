import fc from 'fast-check';
import { expect, test } from 'vitest';
import { SessionState, SessionStateBudget } from './index.js';

const SEED = 20_261_206;
const LIMITS = { sessionBytes: 1000, hostBytes: 2500 };

test('a session keeps entries up to its limit, and may replace or remove them', () => {
  const state = new SessionState(new SessionStateBudget(LIMITS));
  expect([state.trySet('a', 500), state.trySet('b', 500)]).toEqual([true, false]);
  expect(state.trySet('b', 200)).toBe(true);
  expect(state.trySet('a', 700)).toBe(false);
  expect(state.trySet('a', 400)).toBe(true);
  state.remove('a');
  expect(state.trySet('c', 500)).toBe(true);
});

test('a session over its limit may still make an entry smaller', () => {
  const budget = new SessionStateBudget(LIMITS);
  const state = new SessionState(budget);
  state.trySet('a', 800);
  budget.usedBytes = 9000;
  expect([state.trySet('a', 900), state.trySet('a', 100)]).toEqual([false, true]);
});

test('the sessions of a host together stay below its limit, and use nothing once they have ended', () => {
  const names = fc.constantFrom('a', 'b', 'c');
  const change = fc.record({
    session: fc.nat({ max: 4 }),
    name: names,
    bytes: fc.option(fc.nat({ max: 900 })),
  });
  fc.assert(
    fc.property(fc.array(change, { maxLength: 60 }), (changes) => {
      const budget = new SessionStateBudget(LIMITS);
      const sessions = Array.from({ length: 5 }, () => new SessionState(budget));
      for (const { session, name, bytes } of changes) {
        if (bytes === null) {
          sessions[session]?.remove(name);
        } else {
          sessions[session]?.trySet(name, bytes);
        }
        expect(budget.usedBytes).toBeLessThanOrEqual(LIMITS.hostBytes);
        expect(budget.usedBytes).toBeGreaterThanOrEqual(0);
      }
      for (const session of sessions) {
        session.clear();
      }
      expect(budget.usedBytes).toBe(0);
    }),
    { seed: SEED, numRuns: 500 },
  );
});
