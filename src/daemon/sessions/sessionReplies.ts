import type { Fault } from '../../common/diagnostics/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import type { TransactionStatus } from '../requests/index.js';

/** The way back to one caller. */
export abstract class SessionReplies {
  /** Passes on a part of an answer of a backend server. */
  abstract passOn(bytes: Uint8Array): void;
  /** Answers a statement that the session ran by itself. */
  abstract done(): void;
  /** Answers with a refusal. */
  abstract refuse(fault: Fault): void;
  /** Ends the answer to a statement. */
  abstract ready(status: TransactionStatus, position: SessionPosition | undefined): void;
  /** Stops or continues to read from the caller. */
  abstract setReading(reading: boolean): void;
  /** Ends the session. */
  abstract end(): void;
  /**
   * Ends an idle session with a refusal. A statement that is on its way meets the refusal and has not
   * run; later ones are not passed on to the session.
   */
  abstract leave(fault: Fault): void;
}
