import type { WindowCounts } from './windowCounts.js';

/** Report of one window's usage to the platform. */
export interface UsageReport extends WindowCounts {
  /** Fence token: the consensus term of the leader that sends the report. */
  readonly token: number;
  /** Number of calls for the window under this token, this one included. */
  readonly attempt: number;
}

/** The outcome of sending a usage report. */
export enum ReportOutcome {
  Accepted = 'accepted',
  /** A higher fence token was seen. */
  Fenced = 'fenced',
  /** All hosts together sent too many calls. */
  Limited = 'limited',
  /** No answer, or one that states a failure; the report may still be carried out. */
  Failed = 'failed',
  /** The report never left this host. */
  Unsent = 'unsent',
}
