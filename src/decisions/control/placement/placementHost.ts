import type { FailureDomain, HostId } from '../../../common/ids/index.js';

/** Host that is eligible for resources. */
export interface PlacementHost {
  readonly host: HostId;
  readonly domain: FailureDomain;
  /** Time at which the host became eligible. */
  readonly sinceMs: number;
  /** Time at which the host's slow start ends and it may have as much load as the others. */
  readonly warmAtMs: number;
}

/** Request for a host for a resource. */
export interface PlacementRequest {
  /** Name of the resource; a hashing policy prefers the same host for equal names. */
  readonly key: string;
  /** Preferred failure domain. */
  readonly near?: FailureDomain;
  /** Host that is chosen only if no other is eligible. */
  readonly avoid?: HostId;
}

/** Move of a resource from an overloaded host to a less loaded one. */
export interface PlacementMove {
  readonly from: HostId;
  readonly to: HostId;
}
