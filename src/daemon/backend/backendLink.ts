import type { AccountId } from '../../common/ids/index.js';
import type { BackendExchange } from './backendExchange.js';

/** One connection to a backend server; it runs one exchange at a time. */
export abstract class BackendLink {
  /** Called once when the connection is gone, whoever closed it. */
  onClosed: (() => void) | undefined;
  /** The client account that it runs requests of; undefined: of any. */
  abstract readonly account: AccountId | undefined;
  /** When the connection was ready for its first request. */
  abstract readonly openedMs: number;
  abstract readonly isClosed: boolean;
  /** No further request should be given to it although it works. */
  abstract readonly isWorn: boolean;
  /** Sends a request. */
  abstract run(exchange: BackendExchange): void;
  /** Asks for a sign of life; the handler is called when it comes. */
  abstract heartbeat(onAnswer: () => void): void;
  /** Stops or continues to read the answer. */
  abstract setPaused(paused: boolean): void;
  /** Asks the backend server to cancel the running request. */
  abstract cancel(): void;
  /** Closes the connection; a running request is lost. */
  abstract close(): void;
}
