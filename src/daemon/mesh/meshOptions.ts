import type { HostId, Incarnation } from '../../common/ids/index.js';
import type { MeshTls } from './meshTls.js';

/** How a daemon takes part in the mesh. */
export interface MeshOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Address to listen at, `ip:port`; port 0 takes any free one. */
  readonly listen: string;
  /** Address that other daemons dial, when it is another one. */
  readonly advertise?: string;
  readonly maximumFrameBytes: number;
  /** Absent: the mesh runs without TLS. */
  readonly tls?: MeshTls;
}
