import { readProcessorMs, readResidentBytes } from '../proxy/processUsage.js';
import type { ProcessFleet } from '../processes/processFleet.js';

const MESH_LINE =
  /^filbertpoint_mesh_(messages|bytes)_total\{direction="\w+",kind="(\w+)"\} (\d+)$/gm;
/** Message kinds that carry callers' requests, not control. */
const REQUEST_KINDS = new Set([
  'Execute',
  'ResponseBytes',
  'ResponseEnd',
  'ResponseCredit',
  'Cancel',
  'AbortTransaction',
]);

/** What one process has used up to a moment. */
export interface Sample {
  readonly processorMs: number;
  readonly processorAtMs: number;
  readonly residentBytes: number;
  readonly meshBytes: number;
  readonly meshMessages: number;
  readonly meshAtMs: number;
}

/** What one process uses each second. */
export interface Usage {
  /** Processor time in milliseconds per second. */
  readonly processor: number;
  readonly residentMegabytes: number;
  /** Control bytes per second, both directions together. */
  readonly bytes: number;
  /** Control messages per second, both directions together. */
  readonly messages: number;
}

/** Reads the counters of some daemons; processor time last, so that reading is not in it. */
export async function readSamples(
  fleet: ProcessFleet,
  hosts: readonly string[],
): Promise<Map<string, Sample>> {
  const traffic = await Promise.all(hosts.map((host) => readTraffic(fleet, host)));
  const samples = new Map<string, Sample>();
  hosts.forEach((host, index) => {
    const pid = fleet.get(host).child?.pid ?? 0;
    const { meshBytes = 0, meshMessages = 0, meshAtMs = 0 } = traffic[index] ?? {};
    const mesh = { meshBytes, meshMessages, meshAtMs };
    const processorMs = readProcessorMs(pid);
    const processorAtMs = fleet.timer.now();
    samples.set(host, {
      ...mesh,
      processorMs,
      processorAtMs,
      residentBytes: readResidentBytes(pid),
    });
  });
  return samples;
}

/** Processor time and memory only, before the counters of the mesh are read. */
export function closeSamples(
  fleet: ProcessFleet,
  samples: ReadonlyMap<string, Sample>,
): Map<string, Pick<Sample, 'processorMs' | 'processorAtMs' | 'residentBytes'>> {
  const closed = new Map<string, Pick<Sample, 'processorMs' | 'processorAtMs' | 'residentBytes'>>();
  for (const host of samples.keys()) {
    const pid = fleet.get(host).child?.pid ?? 0;
    closed.set(host, {
      processorMs: readProcessorMs(pid),
      processorAtMs: fleet.timer.now(),
      residentBytes: readResidentBytes(pid),
    });
  }
  return closed;
}

/** Measures the use of some daemons over a time. */
export async function measureUsage(
  fleet: ProcessFleet,
  hosts: readonly string[],
  run: () => Promise<void>,
): Promise<Map<string, Usage>> {
  const before = await readSamples(fleet, hosts);
  await run();
  const closed = closeSamples(fleet, before);
  const after = await readSamples(fleet, hosts);
  const usages = new Map<string, Usage>();
  for (const host of hosts) {
    const [first, last, end] = [before.get(host), after.get(host), closed.get(host)];
    if (first === undefined || last === undefined || end === undefined) {
      continue;
    }
    const seconds = (end.processorAtMs - first.processorAtMs) / 1000;
    const meshSeconds = (last.meshAtMs - first.meshAtMs) / 1000;
    usages.set(host, {
      processor: (end.processorMs - first.processorMs) / seconds,
      residentMegabytes: end.residentBytes / 2 ** 20,
      bytes: (last.meshBytes - first.meshBytes) / meshSeconds,
      messages: (last.meshMessages - first.meshMessages) / meshSeconds,
    });
  }
  return usages;
}

/** The mean of some daemons' use. */
export function getMeanUsage(usages: readonly Usage[]): Usage {
  const mean = (get: (usage: Usage) => number): number =>
    usages.reduce((sum, usage) => sum + get(usage), 0) / Math.max(1, usages.length);
  return {
    processor: mean((usage) => usage.processor),
    residentMegabytes: mean((usage) => usage.residentMegabytes),
    bytes: mean((usage) => usage.bytes),
    messages: mean((usage) => usage.messages),
  };
}

/** The median of a list; 0 when it is empty. */
export function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** The median of each figure over some repeats. */
export function getMedianUsage(usages: readonly Usage[]): Usage {
  return {
    processor: getMedian(usages.map((usage) => usage.processor)),
    residentMegabytes: getMedian(usages.map((usage) => usage.residentMegabytes)),
    bytes: getMedian(usages.map((usage) => usage.bytes)),
    messages: getMedian(usages.map((usage) => usage.messages)),
  };
}

async function readTraffic(
  fleet: ProcessFleet,
  host: string,
): Promise<Pick<Sample, 'meshBytes' | 'meshMessages' | 'meshAtMs'>> {
  const { body } = await fleet.http.get(fleet.getHttp(host), '/metrics');
  const meshAtMs = fleet.timer.now();
  const sums = { messages: 0, bytes: 0 };
  for (const [, unit = '', kind = '', value] of String(body).matchAll(MESH_LINE)) {
    if (!REQUEST_KINDS.has(kind)) {
      sums[unit === 'bytes' ? 'bytes' : 'messages'] += Number(value);
    }
  }
  return { meshBytes: sums.bytes, meshMessages: sums.messages, meshAtMs };
}
