import type { Fault } from '../../common/diagnostics/index.js';
import type { TransactionStatus } from '../requests/index.js';

/** One request on a backend connection and the handling of its answer. */
export abstract class BackendExchange {
  /** Messages to send, ending with a Query or Sync. */
  abstract readonly payload: readonly Uint8Array[];
  /** Names of Parse messages added by the proxy, whose answers the caller does not see. */
  abstract readonly addedParses: readonly string[];
  /** Takes bytes of the answer that go on unread. */
  abstract passThrough(bytes: Buffer): void;
  /** Takes a CommandComplete frame. */
  abstract commandComplete(frame: Buffer): void;
  /** Takes an ErrorResponse frame. */
  abstract errorResponse(frame: Buffer): void;
  /** Whether the next ReadyForQuery is the last one of the exchange. */
  abstract isLastReady(): boolean;
  /** The backend server is ready; called once for each Query or Sync of the payload. */
  abstract ready(status: TransactionStatus): void;
  /** The connection was lost before the answer was whole. */
  abstract lost(fault: Fault): void;
}
