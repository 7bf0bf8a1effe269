import { toWindowNumber, type WindowNumber } from '../../common/ids/index.js';

/** Times of usage reports, in milliseconds. */
export interface UsageTerms {
  /** Length of a window. */
  readonly windowMs: number;
  /** Time after the end of a window at which its report is due. */
  readonly delayMs: number;
  /** Time that a new control leader waits before its first report. */
  readonly leaseMs: number;
}

/** The window that contains a point of fleet time. */
export function getWindow(fleetMs: number, { windowMs }: UsageTerms): WindowNumber {
  return toWindowNumber(Math.floor(fleetMs / windowMs));
}

/** The fleet time at which a window ends. */
export function getWindowEndMs(window: WindowNumber, { windowMs }: UsageTerms): number {
  return (window + 1) * windowMs;
}
