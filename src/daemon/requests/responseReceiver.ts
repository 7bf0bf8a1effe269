import type { RequestOutcome } from './requestOutcome.js';

/** Takes the answer to one request. */
export abstract class ResponseReceiver {
  /** Takes the next bytes of the answer. */
  abstract accept(bytes: Uint8Array): void;
  /** Takes the end of the answer; nothing follows it. */
  abstract finish(outcome: RequestOutcome): void;
}
