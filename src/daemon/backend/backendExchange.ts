import type { Fault } from '../../common/diagnostics/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import type { ExecuteRequest, TransactionStatus } from '../requests/index.js';
import type { BackendRefusal } from './backendRefusal.js';
import type { ProbeAnswer } from './instanceProbe.js';

/** The result of an exchange that the backend server answered completely. */
export interface ExchangeResult {
  readonly status: TransactionStatus;
  /** Whether the answer is an error and nothing was committed. */
  readonly failed: boolean;
  /** The instance's reported state after the exchange; absent when it reported none. */
  readonly instanceState?: ProbeAnswer;
}

/** One request on a backend connection and the handling of its answer. */
export abstract class BackendExchange {
  abstract readonly request: ExecuteRequest;
  /** The log position that the instance must have reached before it runs the request. */
  abstract readonly minimum: SessionPosition | undefined;
  /** Receives bytes of the answer; `isAcknowledgement`: they may acknowledge a commit. */
  abstract receiveAnswer(bytes: Buffer, isAcknowledgement: boolean): void;
  /** Called when the answer is complete. */
  abstract handleCompletion(result: ExchangeResult): void;
  /** Called when the backend server reports that it did not run the request. */
  abstract handleRefusal(refusal: BackendRefusal, status: TransactionStatus): void;
  /** Called when the connection was lost before the answer was complete. */
  abstract handleConnectionLost(fault: Fault): void;
}
