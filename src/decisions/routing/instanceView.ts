import type { FailureDomain, InstanceId } from '../../common/ids/index.js';
import type { SessionPosition } from '../sessions/index.js';

/** A group holder's view of one instance at the time of routing. */
export interface InstanceView {
  readonly instance: InstanceId;
  readonly domain: FailureDomain;
  /** Number of statements that the instance runs concurrently. */
  readonly slots: number;
  /** Number of statements running or queued on the instance now. */
  readonly load: number;
  /** Moving average of the time a statement takes there, in milliseconds. */
  readonly latencyMs: number;
  /** Whether new connections succeed and probes are answered. */
  readonly reachable: boolean;
  /** Whether it is neither leaving nor in a failure domain that is out of service. */
  readonly inService: boolean;
  /** Whether it has been out of service for so long that it may run nothing more. */
  readonly withdrawn: boolean;
  /** Log position last read from the instance; undefined while unknown. */
  readonly position: SessionPosition | undefined;
  /** Upper bound on the age of its data, in milliseconds. */
  readonly ageMs: number;
  /** Slow-start weight: the part, from 0 to 1, of its full share that an instance receives. */
  readonly slowStartWeight: number;
  /**
   * Time in milliseconds until a cold instance may start one more request, behind those that wait;
   * absent while the instance is warm.
   */
  readonly coldWaitMs?: number;
}
