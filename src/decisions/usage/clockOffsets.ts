import type { HostId } from '../../common/ids/index.js';

/**
 * Offsets of the hosts' wall clocks to the leader's monotonic clock. Their median gives the fleet
 * time, which stays true while fewer than half of the wall clocks are wrong.
 */
export class ClockOffsets {
  private readonly offsets = new Map<HostId, number>();
  private medianMs: number | undefined;

  /** Records the wall clock time that a host reported. */
  record(host: HostId, wallMs: number, nowMs: number): void {
    this.offsets.set(host, wallMs - nowMs);
  }

  /** Drops the other hosts and computes the median. */
  update(hosts: ReadonlySet<HostId>): void {
    for (const host of this.offsets.keys()) {
      if (!hosts.has(host)) {
        this.offsets.delete(host);
      }
    }
    const sorted = [...this.offsets.values()].sort((first, second) => first - second);
    this.medianMs = sorted[Math.floor((sorted.length - 1) / 2)];
  }

  /** The fleet time by the latest median; undefined if there was none. */
  getTimeMs(nowMs: number): number | undefined {
    return this.medianMs === undefined ? undefined : nowMs + this.medianMs;
  }

  clear(): void {
    this.offsets.clear();
    this.medianMs = undefined;
  }
}
