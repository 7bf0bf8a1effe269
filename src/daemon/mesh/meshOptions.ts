import type { HostId, Incarnation } from '../../common/ids/index.js';
import type { MeshTls } from './meshTls.js';

/** Identity, addresses and limits of a daemon in the mesh. */
export interface MeshOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Address to listen on, `ip:port`; port 0 selects any free port. */
  readonly listen: string;
  /** Address that other daemons connect to, if it differs from the listening address. */
  readonly advertise?: string;
  readonly maximumFrameBytes: number;
  /** Key material; if absent, the mesh runs without TLS. */
  readonly tls?: MeshTls;
}
