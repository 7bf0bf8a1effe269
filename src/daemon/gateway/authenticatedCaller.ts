import type { Duplex } from 'node:stream';
import type { AccountId } from '../../common/ids/index.js';
import type { RouteState } from '../../decisions/tickets/index.js';

/** A caller whose key, or open route, was accepted. */
export interface AuthenticatedCaller {
  readonly account: AccountId;
  readonly route: RouteState;
  /** The key that was presented; absent on an open route. */
  readonly keyId: string | undefined;
  /** The socket to read from and write to: plain, or inside TLS. */
  readonly socket: Duplex;
  /** Bytes that came behind the start-up and were read already. */
  readonly received: Buffer;
  /** Parameters of the start-up message. */
  readonly parameters: Readonly<Record<string, string>>;
}
