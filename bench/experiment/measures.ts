import { type Configuration, EventKind } from './configuration.js';
import { type ExperimentRequest, RequestOutcome } from './experimentRequest.js';
import type { RunRecord } from './experimentRun.js';
import { getFairShares } from './fairShare.js';

const AFTER_RETURN_MS = 2000;

/** The measures of one run. A measure that does not apply is undefined. */
export interface Measures {
  /** Share of served reads that a replica served. */
  readonly replicaShare: number;
  /** Longest time from the loss of a primary or holder to the next served write. */
  readonly failoverGapMs: number | undefined;
  /** Smallest of what accounts got, relative to the smaller of demand and fair share. */
  readonly worstServed: number;
  /** Requests refused although inside their account's rate, per thousand of those inside. */
  readonly wrongfulRefusals: number;
  /** Served part of what accounts sent inside their rates while a domain left and returned. */
  readonly domainService: number | undefined;
  /** Served work relative to what all slots can do. */
  readonly goodput: number;
  /** Served requests' 99th percentile of total time. */
  readonly p99Ms: number;
  /** Messages about tokens between daemons, for each request. */
  readonly tokenMessages: number;
}

/** Computes the measures of one run. */
export function getMeasures(configuration: Configuration, record: RunRecord): Measures {
  const { requests } = record;
  const endMs = configuration.warmup_ms + getMeasuredMs(configuration);
  const served = requests.filter((request) => request.outcome === RequestOutcome.Served);
  const reads = served.filter((request) => !request.isWrite);
  const capacityMs = getCapacityMs(configuration);
  return {
    replicaShare: getShare(reads, (request) => request.onReplica),
    failoverGapMs: getFailoverGap(configuration, served),
    worstServed: getWorstServed(configuration, requests),
    wrongfulRefusals: getWrongfulRefusals(configuration, requests),
    domainService: getDomainService(configuration, requests),
    goodput: sumCost(served.filter((request) => request.endMs <= endMs)) / capacityMs,
    p99Ms: getQuantile(
      served.map((request) => request.endMs - request.sentMs),
      0.99,
    ),
    tokenMessages: record.tokenMessages,
  };
}

/**
 * Refused requests that an account was entitled to: those by which what it was served falls short
 * of what it sent inside its rate.
 */
export function countWrongfulRefusals(own: readonly ExperimentRequest[]): number {
  const inside = own.filter((request) => request.isInsideRate).length;
  const served = own.filter((request) => request.outcome === RequestOutcome.Served).length;
  return Math.min(own.filter(isRefused).length, Math.max(0, inside - served));
}

/** Whether a request was refused as not run. */
export function isRefused(request: ExperimentRequest): boolean {
  return (
    request.outcome === RequestOutcome.RefusedByRate ||
    request.outcome === RequestOutcome.RefusedByQueue
  );
}

/** The value below which the given part of the values lies. */
export function getQuantile(values: readonly number[], part: number): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}

function getWrongfulRefusals(
  configuration: Configuration,
  requests: readonly ExperimentRequest[],
): number {
  const counts = configuration.accounts.map((account) =>
    countWrongfulRefusals(requests.filter((request) => request.account === account)),
  );
  const inside = requests.filter((request) => request.isInsideRate).length;
  return (1000 * counts.reduce((sum, count) => sum + count, 0)) / inside;
}

/** Whether a request had ended, or could not end in time any more, at a moment. */
function isDecidedBy(request: ExperimentRequest, timeMs: number): boolean {
  const isSent = request.sentMs <= timeMs;
  return isSent && (request.endMs <= timeMs || request.deadlineMs <= timeMs);
}

function getWorstServed(
  configuration: Configuration,
  requests: readonly ExperimentRequest[],
): number {
  const endMs = configuration.warmup_ms + getMeasuredMs(configuration);
  const accounts = configuration.accounts.map((account) => {
    const own = requests.filter((request) => request.account === account);
    const demanded = own.filter(
      (request) =>
        isDecidedBy(request, endMs) && (request.isInsideRate || !configuration.limit_rates),
    );
    const served = own.filter(
      (request) => request.outcome === RequestOutcome.Served && request.endMs <= endMs,
    );
    return { weight: account.rate, demand: sumCost(demanded), served: sumCost(served) };
  });
  const shares = getFairShares(accounts, getUsableMs(configuration, requests));
  const ratios = accounts.map(({ served }, index) => served / (shares[index] ?? 1));
  return Math.min(...ratios);
}

/** Slot time that the load can use: writes run on primaries only. */
function getUsableMs(configuration: Configuration, requests: readonly ExperimentRequest[]): number {
  const writes = sumCost(requests.filter((request) => request.isWrite)) / sumCost(requests);
  const capacityMs = getCapacityMs(configuration);
  const primaryMs = capacityMs / configuration.site.instances;
  return writes === 0 ? capacityMs : Math.min(capacityMs, primaryMs / writes);
}

function getCapacityMs(configuration: Configuration): number {
  const { databases, instances, slots } = configuration.site;
  return getMeasuredMs(configuration) * databases * instances * slots;
}

/** Length of the part of a run to which capacity and shares relate. */
function getMeasuredMs(configuration: Configuration): number {
  return configuration.overload_until_ms ?? configuration.duration_ms;
}

function getFailoverGap(
  configuration: Configuration,
  served: readonly ExperimentRequest[],
): number | undefined {
  const gaps = configuration.events
    .filter((event) => event.kind === EventKind.PrimaryLost || event.kind === EventKind.HolderLost)
    .flatMap((event) => {
      const atMs = configuration.warmup_ms + event.at_ms;
      const databases =
        event.kind === EventKind.PrimaryLost
          ? [event.target]
          : Array.from({ length: configuration.site.databases }, (_, index) => index);
      return databases.map((database) => getNextWriteMs(served, database, atMs) - atMs);
    });
  return gaps.length === 0 ? undefined : Math.max(...gaps);
}

function getNextWriteMs(
  served: readonly ExperimentRequest[],
  database: number,
  atMs: number,
): number {
  const ends = served
    .filter((request) => request.isWrite && request.database === database && request.endMs > atMs)
    .map((request) => request.endMs);
  return ends.reduce((least, end) => Math.min(least, end), Number.POSITIVE_INFINITY);
}

function getDomainService(
  configuration: Configuration,
  requests: readonly ExperimentRequest[],
): number | undefined {
  const out = configuration.events.find((event) => event.kind === EventKind.DomainOut);
  const back = configuration.events.find((event) => event.kind === EventKind.DomainBack);
  if (out === undefined || back === undefined) {
    return undefined;
  }
  const fromMs = configuration.warmup_ms + out.at_ms;
  const toMs = configuration.warmup_ms + back.at_ms + AFTER_RETURN_MS;
  const during = requests.filter(({ sentMs }) => sentMs >= fromMs && sentMs < toMs);
  const parts = configuration.accounts.map((account) => {
    const own = during.filter((request) => request.account === account);
    const owed = own.filter((request) => request.isInsideRate).length;
    const served = own.filter((request) => request.outcome === RequestOutcome.Served).length;
    return { owed, served: Math.min(owed, served) };
  });
  const owed = parts.reduce((sum, part) => sum + part.owed, 0);
  return parts.reduce((sum, part) => sum + part.served, 0) / owed;
}

function getShare(
  requests: readonly ExperimentRequest[],
  matches: (request: ExperimentRequest) => boolean,
): number {
  return requests.length === 0 ? 0 : requests.filter(matches).length / requests.length;
}

function sumCost(requests: readonly ExperimentRequest[]): number {
  return requests.reduce((sum, request) => sum + request.serviceMs, 0);
}
