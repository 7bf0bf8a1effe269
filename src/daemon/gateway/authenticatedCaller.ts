import type { Socket } from 'node:net';
import type { AccountId } from '../../common/ids/index.js';
import type { RouteState } from '../../decisions/tickets/index.js';

/** A caller that was authenticated by its key, or that uses an open route. */
export interface AuthenticatedCaller {
  readonly account: AccountId;
  readonly route: RouteState;
  /** Id of the key that the caller proved to hold; undefined on an open route. */
  readonly keyId: string | undefined;
  /** The socket to read from and write to: the TCP socket, or the TLS socket on top of it. */
  readonly socket: Socket;
  /** Bytes that followed the start-up messages and were already read. */
  readonly received: Buffer;
  /** Parameters of the StartupMessage. */
  readonly parameters: Readonly<Record<string, string>>;
}
