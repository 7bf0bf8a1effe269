import * as fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  toFailureDomain,
  toHostId,
  toInstanceId,
  toLeaseId,
  toLogPosition,
  toTerm,
} from '../../common/ids/index.js';
import { ReaderChoice, type ReaderCandidate } from './readerSelector.js';

const SEED = 20261205;
const HOME = toFailureDomain('north');

function createCandidate(name: string, domain = 'south', isOwn = false): ReaderCandidate {
  const holder = { host: toHostId(name), lease: toLeaseId(`${name}.1`), address: name };
  return { instance: toInstanceId(name), domain: toFailureDomain(domain), holder, isOwn };
}

const candidates = fc
  .uniqueArray(fc.constantFrom('a', 'b', 'c', 'd'), { minLength: 1 })
  .chain((names) =>
    fc
      .array(fc.constantFrom('north', 'south'), {
        minLength: names.length,
        maxLength: names.length,
      })
      .map((domains) => names.map((name, index) => createCandidate(name, domains[index]))),
  );

test('reads of one host never pile up on one reader while another has none of them', () => {
  const property = fc.property(
    candidates,
    fc.array(fc.option(fc.nat(20)), { maxLength: 200 }),
    (readers, steps) => {
      const choice = new ReaderChoice(HOME);
      const running: ReaderCandidate[] = [];
      for (const step of steps) {
        const ended = step === null ? undefined : running.splice(step, 1)[0];
        if (ended !== undefined) {
          choice.ended(ended.instance);
          continue;
        }
        const least = Math.min(...readers.map(({ instance }) => choice.getInFlight(instance)));
        const chosen = choice.choose(readers, 0);
        expect(chosen).toBeDefined();
        if (chosen !== undefined) {
          // A near reader may be ahead of a far one by as much as the way there is worth.
          expect(choice.getInFlight(chosen.instance)).toBeLessThanOrEqual(least + 2);
          choice.started(chosen.instance);
          running.push(chosen);
        }
      }
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 300 });
});

test('readers at the same distance share reads one after another evenly', () => {
  const readers = [createCandidate('a'), createCandidate('b')];
  const choice = new ReaderChoice(HOME);
  const taken = Array.from({ length: 10 }, () => choice.choose(readers, 0)?.instance);
  expect(taken.filter((each) => each === 'a')).toHaveLength(5);
});

test('a near reader is preferred, and this host itself before it', () => {
  const [far, near] = [createCandidate('far'), createCandidate('near', 'north')];
  const own = createCandidate('own', 'south', true);
  const choice = new ReaderChoice(HOME);
  expect(choice.choose([far, near], 0)).toBe(near);
  expect(choice.choose([far, near, own], 0)).toBe(own);
});

test('a reader that did not answer is left out for a while, and none is taken when all are', () => {
  const readers = [createCandidate('a'), createCandidate('b')];
  const property = fc.property(fc.nat(5000), fc.nat(5000), (failedMs, laterMs) => {
    const choice = new ReaderChoice(HOME);
    choice.failed(toInstanceId('a'), failedMs);
    const nowMs = failedMs + laterMs;
    const isOut = laterMs < 1000;
    expect(choice.choose(readers.slice(0, 1), nowMs) === undefined).toBe(isOut);
    expect(choice.choose(readers, nowMs)).toBeDefined();
  });
  fc.assert(property, { seed: SEED });
});

test('reads that only the holder can tell the position of are not sent to readers', () => {
  const session = { term: toTerm(1), position: toLogPosition(3) };
  const isReadable = (maximumStalenessMs: number | undefined, isOwn: boolean, latest = false) =>
    ReaderChoice.isReadable({ session: isOwn ? session : undefined, maximumStalenessMs, latest });
  expect(isReadable(1500, false)).toBe(true);
  expect(isReadable(undefined, true)).toBe(true);
  expect(isReadable(undefined, false)).toBe(false);
  expect(isReadable(100, true)).toBe(false);
  expect(isReadable(1500, true, true)).toBe(false);
});
