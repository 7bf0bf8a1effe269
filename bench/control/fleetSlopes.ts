import { createAccountSubject } from '../fleet/createAccountSubject.js';
import { ControlFleet, createRoute, type RoleUsage, type TicketTimes } from './controlFleet.js';
import { printTable, type Row } from './table.js';
import { getMedian, getMedianUsage, type Usage } from './usage.js';

const SETTLE_MS = 2500;
const TICKET_COUNT = 30;
const SUBJECTS_PER_TICKET = 100;

/** Bounds of the runs with processes. */
export interface SlopeOptions {
  readonly dist: string;
  readonly sizes: readonly number[];
  readonly windowMs: number;
  readonly repeats: number;
  readonly groups: number;
  readonly ticketsPerSecond: number;
  readonly recordCounts: readonly number[];
}

/** Measures control at rest and under tickets over several sizes of fleet. */
export async function measureSizes(options: SlopeOptions): Promise<void> {
  const rest: Row[] = [];
  const tickets: Row[] = [];
  for (const size of options.sizes) {
    const fleet = new ControlFleet(size, 0, options.dist);
    try {
      await fleet.start();
      await fleet.fleet.sleep(SETTLE_MS);
      const idle = await repeat(fleet, options, () => fleet.fleet.sleep(options.windowMs));
      rest.push(...createRows({ entries: size, groups: 0 }, idle));
      tickets.push(...(await measureTickets(fleet, options, idle)));
    } finally {
      await fleet.stop();
    }
  }
  printTable('At rest', rest);
  printTable('Under tickets', tickets);
}

/** Measures control at rest with database groups. */
export async function measureGroups(options: SlopeOptions): Promise<void> {
  const rows: Row[] = [];
  for (const groups of [0, options.groups]) {
    const fleet = new ControlFleet(options.sizes[1] ?? 1, groups, options.dist);
    try {
      await fleet.start();
      await fleet.fleet.sleep(SETTLE_MS);
      const usage = await repeat(fleet, options, () => fleet.fleet.sleep(options.windowMs));
      rows.push(...createRows({ entries: fleet.size, groups }, usage));
    } finally {
      await fleet.stop();
    }
  }
  printTable('With database groups', rows);
}

/** Measures memory and restarts with more and more records. */
export async function measureRecords(options: SlopeOptions): Promise<void> {
  const rows: Row[] = [];
  const fleet = new ControlFleet(options.sizes[0] ?? 1, 0, options.dist);
  const pattern = createAccountSubject({ account: 'a', rate: 10, burst: 10 }, [
    { id: 'bench', key: 'the key of a bench' },
  ]);
  let accounts = 0;
  try {
    await fleet.start();
    for (const wanted of options.recordCounts) {
      while (accounts < wanted) {
        const first = accounts;
        const subjects = Array.from({ length: SUBJECTS_PER_TICKET }, (_unused, index) => ({
          ...pattern,
          account: `account-${first + index}`,
        }));
        await fleet.submit(subjects);
        accounts += SUBJECTS_PER_TICKET;
      }
      await fleet.fleet.sleep(SETTLE_MS);
      const usage = await repeat(fleet, options, () => fleet.fleet.sleep(options.windowMs));
      const last = fleet.entries.at(-1) ?? '';
      const restartMs = [await fleet.timeRestart(last), await fleet.timeRestart(last)];
      rows.push(...createRows({ accounts, restart_ms: getMedian(restartMs) }, usage));
    }
  } finally {
    await fleet.stop();
  }
  printTable('With accounts', rows);
}

async function measureTickets(
  fleet: ControlFleet,
  options: SlopeOptions,
  idle: RoleUsage,
): Promise<Row[]> {
  const times: TicketTimes[] = [];
  for (let index = 0; index < TICKET_COUNT; index += 1) {
    times.push(await fleet.timeTicket(index));
  }
  const loaded = await fleet.measure(() => sendTickets(fleet, options));
  const count = (options.windowMs / 1000) * options.ticketsPerSecond;
  const seconds = options.windowMs / 1000;
  const getCost = (role: keyof RoleUsage): Row => ({
    entries: fleet.size,
    role,
    microseconds_a_ticket:
      (1000 * seconds * (loaded[role].processor - idle[role].processor)) / count,
    bytes_a_ticket: (seconds * (loaded[role].bytes - idle[role].bytes)) / count,
    messages_a_ticket: (seconds * (loaded[role].messages - idle[role].messages)) / count,
    accepted_ms: getMedian(times.map(({ acceptedMs }) => acceptedMs)),
    everywhere_ms: getMedian(times.map(({ everywhereMs }) => everywhereMs)),
    worst_ms: Math.max(...times.map(({ everywhereMs }) => everywhereMs)),
  });
  return [getCost('entry'), getCost('leader'), getCost('follower')];
}

async function sendTickets(fleet: ControlFleet, options: SlopeOptions): Promise<void> {
  const { timer } = fleet.fleet;
  const endMs = timer.now() + options.windowMs;
  const count = (options.windowMs / 1000) * options.ticketsPerSecond;
  for (let index = 0; index < count; index += 1) {
    const dueMs = endMs - options.windowMs + (index * 1000) / options.ticketsPerSecond;
    await fleet.fleet.sleep(Math.max(0, dueMs - timer.now()));
    await fleet.submit([createRoute(TICKET_COUNT + index)]);
  }
  await fleet.fleet.sleep(Math.max(0, endMs - timer.now()));
}

async function repeat(
  fleet: ControlFleet,
  options: SlopeOptions,
  run: () => Promise<void>,
): Promise<RoleUsage> {
  const usages: RoleUsage[] = [];
  for (let count = 0; count < options.repeats; count += 1) {
    usages.push(await fleet.measure(run));
  }
  const getRole = (role: keyof RoleUsage): Usage =>
    getMedianUsage(usages.map((usage) => usage[role]));
  return { entry: getRole('entry'), leader: getRole('leader'), follower: getRole('follower') };
}

function createRows(head: Row, usage: RoleUsage): Row[] {
  return (['entry', 'leader', 'follower'] as const).map((role) => ({
    ...head,
    role,
    processor_ms_per_s: usage[role].processor,
    resident_MB: usage[role].residentMegabytes,
    control_bytes_per_s: usage[role].bytes,
    control_messages_per_s: usage[role].messages,
  }));
}
