import type { LogPosition } from '../../common/ids/index.js';

interface Sample {
  readonly timeMs: number;
  readonly position: LogPosition;
}

const MAXIMUM_SAMPLES = 512;

/** Records when the primary was at which position, to determine the age of a replica's data. */
export class PositionHistory {
  private samples: Sample[] = [];

  /** Records that the primary's position at `timeMs` was at most `position`. */
  record(position: LogPosition, timeMs: number): void {
    const last = this.samples.at(-1);
    if (last !== undefined && position <= last.position) {
      this.samples[this.samples.length - 1] = { timeMs, position: last.position };
      return;
    }
    this.samples.push({ timeMs, position });
    if (this.samples.length > MAXIMUM_SAMPLES) {
      this.samples = this.samples.slice(MAXIMUM_SAMPLES / 2);
    }
  }

  /** Discards all samples, as after a change of primary. */
  reset(): void {
    this.samples = [];
  }

  /**
   * Returns a position that includes all writes acknowledged before a time; undefined if unknown.
   */
  getPositionAt(timeMs: number): LogPosition | undefined {
    return (this.samples.find((sample) => sample.timeMs >= timeMs) ?? this.samples.at(-1))
      ?.position;
  }

  /**
   * Returns an upper bound on the age in milliseconds of data at a position; infinite if unknown.
   */
  getAgeMs(position: LogPosition, nowMs: number): number {
    for (let index = this.samples.length - 1; index >= 0; index -= 1) {
      const sample = this.samples[index];
      if (sample !== undefined && sample.position <= position) {
        return nowMs - sample.timeMs;
      }
    }
    return Number.POSITIVE_INFINITY;
  }
}
