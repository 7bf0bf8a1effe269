import type { FailureDomain, HostId } from '../../../common/ids/index.js';

/** A host that may be given resources. */
export interface PlacementHost {
  readonly host: HostId;
  readonly domain: FailureDomain;
  /** When the host became eligible. */
  readonly sinceMs: number;
  /** When the host may carry as much as the others; slow start until then. */
  readonly warmAtMs: number;
}

/** A resource that needs a host. */
export interface PlacementRequest {
  /** Names the resource; equal names are placed alike where the policy hashes. */
  readonly key: string;
  /** The failure domain to be near to. */
  readonly near?: FailureDomain;
  /** A host that is not to be chosen, unless it is the only one. */
  readonly avoid?: HostId;
}

/** A host that carries too much beside one that carries little. */
export interface PlacementMove {
  readonly from: HostId;
  readonly to: HostId;
}
