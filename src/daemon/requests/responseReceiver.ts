import type { RequestOutcome } from './requestOutcome.js';

/** Receives the answer to one request. */
export abstract class ResponseReceiver {
  /** Receives the next bytes of the answer. */
  abstract accept(bytes: Uint8Array): void;
  /** Receives the end of the answer; no further call follows. */
  abstract finish(outcome: RequestOutcome): void;
}
