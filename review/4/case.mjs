import { BOUNDS, hasTrouble, readAlong, runCase, sleep } from '../lib/fleet.mjs';

/** How long the control host is frozen; the site files let machines freeze for up to 7.9 s. */
const FREEZE_MS = 4000;
const WATCH_MS = 10_000;

await runCase(import.meta.url, async (fleet) => {
  await fleet.start();
  await fleet.waitUntilServing();
  let isOver = false;
  const readers = fleet.entries.map((entry) => readAlong(fleet, entry, 50, () => isOver));
  await sleep(3000);

  const [first, second, frozen] = fleet.controls;
  const zone = fleet.group.instances.find(({ role }) => role === 'replica').domain;
  const others = [first, second, first, second];
  await fleet.order(others, `Drain.Begin/${zone}`);
  await sleep(1000);
  if (hasTrouble) {
    fleet.signal(frozen, 'SIGSTOP');
  }
  const frozenMs = performance.now();
  // The frozen host does not answer within a second: the same order goes to the next host.
  await fleet.order([frozen, ...others], `Drain.Finish/${zone}`);
  await sleep(500);
  const evacuatedMs = await fleet.order(others, `Drain.Begin/${zone}`);
  await sleep(Math.max(0, frozenMs + FREEZE_MS - performance.now()));
  if (hasTrouble) {
    fleet.signal(frozen, 'SIGCONT');
  }
  const thawedMs = performance.now();
  // From here on every machine is in touch again, with the whole of what an unstable core allows.
  const fromMs =
    Math.max(evacuatedMs + BOUNDS.evacuateMs, thawedMs + BOUNDS.contactMs) + BOUNDS.outerMs;
  await sleep(fromMs + WATCH_MS - performance.now());
  isOver = true;
  await Promise.all(readers);
  const late = fleet.watch.seen.filter(({ atMs, domain }) => domain === zone && atMs > fromMs);
  const elsewhere = fleet.watch.seen.filter(({ atMs, domain }) => domain !== zone && atMs > fromMs);
  fleet.record.add(
    `${late.length} requests reached ${zone} later than allowed after its evacuation was ` +
      `acknowledged, and ${elsewhere.length} other zones`,
  );
  if (elsewhere.length + late.length === 0) {
    throw new Error('nothing was served');
  }
  return late.length > 0;
});
