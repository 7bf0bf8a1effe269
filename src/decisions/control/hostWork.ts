import type { AccountId, GroupId, InstanceId } from '../../common/ids/index.js';
import type { AccountWork, GroupWork, ReaderWork, WorkReport } from './workReport.js';

/** Minimum time between two reports. */
const REPORT_INTERVAL_MS = 2000;
/**
 * Time over which work is averaged. Two waves of 15 s cancel out; of a wave of 11 s that swings by a
 * quarter, 2% remain.
 */
const AVERAGING_MS = 30_000;
/**
 * Processor time of a request at the holder or reader, in microseconds: about that of a read through
 * one daemon (74 to 79 µs), and half of that of a write (161 to 190 µs), see CAPACITY.md.
 */
const REQUEST_COST = 100;
/**
 * Processor time of a token message at an account's holder, in microseconds. It passes the mesh like
 * a request, but has no backend server, no queue and no answer to forward.
 */
const TOKEN_MESSAGE_COST = 20;
/** Most resources in one report; the others follow in turn. */
const MAXIMUM_RESOURCES = 40;
const MS_PER_SECOND = 1000;
const SHARE_DECIMALS = 100;

/** Requests of a held group since it was taken. */
export type GroupCount = readonly [GroupId, number];

/** Requests of a replica that is read here, since it was taken. */
export type ReaderCount = readonly [GroupId, InstanceId, number];

/** Token messages of a held account since it was taken. */
export type AccountCount = readonly [AccountId, number];

/** Counts of all resources that a host holds, and the processor time that it has used. */
export interface WorkCounts {
  readonly groups: readonly GroupCount[];
  readonly readers: readonly ReaderCount[];
  readonly accounts: readonly AccountCount[];
  /** Time for which the host was busy since its start, in milliseconds. */
  readonly busyMs: number;
}

interface Sample {
  readonly atMs: number;
  readonly count: number;
}

/** Averages the work of the resources that one host holds, for its reports to control. */
export class HostWork {
  private samples = new Map<string, Sample[]>();
  private lastMs = -Infinity;
  private next = 0;

  constructor(private readonly cores?: number) {}

  /** Whether the next report is due. */
  isDue(nowMs: number): boolean {
    return nowMs - this.lastMs >= REPORT_INTERVAL_MS;
  }

  /** Creates a report from the present counts. */
  createReport(counts: WorkCounts, nowMs: number): WorkReport {
    this.lastMs = nowMs;
    const previous = this.samples;
    this.samples = new Map();
    const measure = (key: string, count: number, cost: number): number | undefined => {
      const samples = addSample(previous.get(key) ?? [], { atMs: nowMs, count });
      this.samples.set(key, samples);
      const perMs = getRate(samples);
      return perMs === undefined ? undefined : Math.round(perMs * MS_PER_SECOND * cost);
    };
    const groups: GroupWork[] = [];
    for (const [group, count] of counts.groups) {
      const work = measure(`group/${group}`, count, REQUEST_COST);
      groups.push(...(work === undefined ? [] : [[group, work] as const]));
    }
    const readers: ReaderWork[] = [];
    for (const [group, instance, count] of counts.readers) {
      const work = measure(`reader/${group}/${instance}`, count, REQUEST_COST);
      readers.push(...(work === undefined ? [] : [[group, instance, work] as const]));
    }
    const accounts: AccountWork[] = [];
    for (const [account, count] of counts.accounts) {
      const work = measure(`account/${account}`, count, TOKEN_MESSAGE_COST);
      accounts.push(...(work === undefined ? [] : [[account, work] as const]));
    }
    const busy = addSample(previous.get('') ?? [], { atMs: nowMs, count: counts.busyMs });
    this.samples.set('', busy);
    const share = getRate(busy);
    const rounded = Math.round(Math.min(1, share ?? 0) * SHARE_DECIMALS) / SHARE_DECIMALS;
    return {
      ...(share === undefined ? {} : { processorShare: rounded }),
      ...(this.cores === undefined ? {} : { cores: this.cores }),
      ...this.choose(groups, readers, accounts),
    };
  }

  /** Chooses the resources of one report, in turn if there are too many. */
  private choose(
    groups: readonly GroupWork[],
    readers: readonly ReaderWork[],
    accounts: readonly AccountWork[],
  ): Pick<WorkReport, 'groups' | 'readers' | 'accounts'> {
    const total = groups.length + readers.length + accounts.length;
    if (total <= MAXIMUM_RESOURCES) {
      return { groups, readers, accounts };
    }
    const first = this.next % total;
    this.next = first + MAXIMUM_RESOURCES;
    const isChosen = (index: number): boolean =>
      (index - first + total) % total < MAXIMUM_RESOURCES;
    const beforeAccounts = groups.length + readers.length;
    return {
      groups: groups.filter((_, index) => isChosen(index)),
      readers: readers.filter((_, index) => isChosen(groups.length + index)),
      accounts: accounts.filter((_, index) => isChosen(beforeAccounts + index)),
    };
  }
}

/** Adds a sample and drops those that the average no longer needs. */
function addSample(samples: readonly Sample[], added: Sample): Sample[] {
  const last = samples.at(-1);
  if (last !== undefined && added.count < last.count) {
    // The resource was released and taken again.
    return [added];
  }
  const kept = [...samples, added];
  while (kept[1] !== undefined && added.atMs - kept[1].atMs >= AVERAGING_MS) {
    kept.shift();
  }
  return kept;
}

/** Returns the mean rate per millisecond; undefined until the samples span the averaging time. */
function getRate(samples: readonly Sample[]): number | undefined {
  const first = samples[0];
  const last = samples.at(-1);
  if (first === undefined || last === undefined || last.atMs - first.atMs < AVERAGING_MS) {
    return undefined;
  }
  return (last.count - first.count) / (last.atMs - first.atMs);
}
