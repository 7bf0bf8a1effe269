/**
 * Growth of a sample's error with its age: well above the drift between two hosts' clocks, so that
 * a new sample over a slow link replaces an old one within seconds.
 */
const ERROR_GROWTH = 0.01;

/** A sample of the fleet time, on the receiver's monotonic clock. */
export interface FleetTimeSample {
  readonly sentMs: number;
  readonly receivedMs: number;
  /** Fleet time at some moment between the two. */
  readonly fleetMs: number;
}

/** Fleet time by the monotonic clock of a host and the most precise recent sample. */
export class FleetClock {
  private offsetMs: number | undefined;
  private errorMs = Infinity;
  private sampledMs = 0;

  /** Uses a sample unless the present one is still more precise. */
  observe({ sentMs, receivedMs, fleetMs }: FleetTimeSample): void {
    const errorMs = (receivedMs - sentMs) / 2;
    if (errorMs <= this.errorMs + (receivedMs - this.sampledMs) * ERROR_GROWTH) {
      this.offsetMs = fleetMs - sentMs - errorMs;
      this.errorMs = errorMs;
      this.sampledMs = receivedMs;
    }
  }

  /** Makes the next sample replace the present one, as after a suspension of the host. */
  invalidate(): void {
    this.errorMs = Infinity;
  }

  /** The fleet time; undefined before the first sample. */
  getTimeMs(nowMs: number): number | undefined {
    return this.offsetMs === undefined ? undefined : nowMs + this.offsetMs;
  }
}
