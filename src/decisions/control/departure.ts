import type { InstanceId } from '../../common/ids/index.js';

/** An instance's word that it is gone, with its log. */
export interface Departure {
  readonly instance: InstanceId;
  /** When the life that ended had started, in Unix milliseconds, where it said so. */
  readonly startedMs?: number;
}
