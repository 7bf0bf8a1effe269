import type { InstanceId } from '../../common/ids/index.js';

/** Report that an instance and its log are gone permanently. */
export interface Departure {
  readonly instance: InstanceId;
  /** Start time of the ended incarnation in Unix milliseconds, if it was reported. */
  readonly startedMs?: number;
}
