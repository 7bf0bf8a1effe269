import type { HostId, Incarnation } from '../../common/ids/index.js';

/** Daemon on the other side of a link. */
export interface MeshPeer {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Mesh address at which the peer accepts connections. */
  readonly address: string;
}
