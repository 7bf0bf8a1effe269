import { afterAll, beforeAll, expect, test } from 'vitest';
import { CallerFleet } from './callerFleet.js';
import { expectTruth, startLoad } from './loadLoop.js';

const GRACE_MS = 5000;
const callers = new CallerFleet(2);

beforeAll(() => callers.start());
afterAll(() => callers.stop());

function setInService(inService: boolean): Promise<number> {
  return callers.fleet.submit({ kind: 'failure-domain', domain: 'mekelle', inService });
}

async function waitForHolder(isWanted: (holder: string) => boolean): Promise<void> {
  await callers.fleet.waitFor(async () => isWanted((await callers.getHolder()) ?? ''));
  await callers.fleet.waitForGroup('ledger-1');
}

test('a holder and a primary that are taken out of service cut no request', async () => {
  const { seen, stop } = startLoad(callers, 'entry-2', 10_000);
  await callers.fleet.waitFor(() => seen.acknowledged.length > 50);
  await setInService(false);
  await waitForHolder((holder) => holder === 'entry-2');
  const before = seen.acknowledged.length;
  await callers.fleet.waitFor(() => seen.acknowledged.length > before + 50);
  await stop();
  expectTruth(callers, seen);
  expect(seen.notRun).toEqual([]);
  await setInService(true);
});

test('a holder that is shut down under load cuts no request', async () => {
  const holder = (await callers.getHolder()) ?? '';
  expect(holder).toBe('entry-2');
  const { seen, stop } = startLoad(callers, 'control-1', 30_000);
  await callers.fleet.waitFor(() => seen.acknowledged.length > 50);
  await callers.fleet.getDaemon(holder).daemon.stop(GRACE_MS);
  await waitForHolder((next) => next !== '' && next !== holder);
  const before = seen.acknowledged.length;
  await callers.fleet.waitFor(() => seen.acknowledged.length > before + 50);
  await stop();
  expectTruth(callers, seen);
  expect(seen.notRun).toEqual([]);
});
