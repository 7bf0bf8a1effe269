import type { Fault } from '../../common/diagnostics/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import type { ExecuteRequest, TransactionStatus } from '../requests/index.js';
import type { BackendRefusal } from './backendRefusal.js';
import type { ProbeAnswer } from './instanceProbe.js';

/** How an exchange ended that the backend server answered whole. */
export interface ExchangeResult {
  readonly status: TransactionStatus;
  /** The answer is an error and nothing was committed. */
  readonly failed: boolean;
  /** Where the instance stands after the exchange; absent when it did not say. */
  readonly standing?: ProbeAnswer;
}

/** One request on a backend connection and the handling of its answer. */
export abstract class BackendExchange {
  abstract readonly request: ExecuteRequest;
  /** What the instance's log must hold before it runs the request. */
  abstract readonly minimum: SessionPosition | undefined;
  /** Takes bytes of the answer; `isAcknowledgement`: they may acknowledge a commit. */
  abstract answer(bytes: Buffer, isAcknowledgement: boolean): void;
  /** The answer is whole. */
  abstract ran(result: ExchangeResult): void;
  /** The backend server says that it did not run the request. */
  abstract declined(refusal: BackendRefusal, status: TransactionStatus): void;
  /** The connection was lost before the answer was whole. */
  abstract lost(fault: Fault): void;
}
