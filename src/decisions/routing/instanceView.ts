import type { FailureDomain, InstanceId } from '../../common/ids/index.js';
import type { SessionPosition } from '../sessions/index.js';

/** What a group's holder knows of one instance when it routes a statement. */
export interface InstanceView {
  readonly instance: InstanceId;
  readonly domain: FailureDomain;
  /** Statements that the instance runs at once. */
  readonly slots: number;
  /** Statements running or queued on the instance now. */
  readonly load: number;
  /** Moving average of the time a statement takes there, in milliseconds. */
  readonly latencyMs: number;
  /** New connections succeed and probes are answered. */
  readonly reachable: boolean;
  /** Neither leaving nor in a failure domain that is out of service. */
  readonly inService: boolean;
  /** The position last read from it; absent while unknown. */
  readonly position: SessionPosition | undefined;
  /** An upper bound on the age of its data, in milliseconds. */
  readonly ageMs: number;
  /** From 0 to 1: the part of its full share that an instance takes while it starts slowly. */
  readonly warmth: number;
}
