import type { AccountId } from '../../common/ids/index.js';
import type { BackendExchange } from './backendExchange.js';

/** One connection to a backend server; it runs one exchange at a time. */
export abstract class BackendLink {
  /** Called once when the connection is closed by either side. */
  onClosed: (() => void) | undefined;
  /** The client account whose requests the connection runs; undefined if it serves any account. */
  abstract readonly account: AccountId | undefined;
  /** Time at which the connection was ready for its first request, in milliseconds. */
  abstract readonly openedMs: number;
  abstract readonly isClosed: boolean;
  /** Whether the connection must not run further requests, even if it still works. */
  abstract readonly isRetired: boolean;
  /** Sends a request. */
  abstract run(exchange: BackendExchange): void;
  /** Sends a heartbeat; the handler is called when it is answered. */
  abstract heartbeat(onAnswer: () => void): void;
  /** Pauses or resumes reading the answer. */
  abstract setPaused(paused: boolean): void;
  /** Asks the backend server to cancel the running request. */
  abstract cancel(): void;
  /** Closes the connection; a running request is lost. */
  abstract close(): void;
}
