import type { Fault } from '../../common/diagnostics/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import type { TransactionStatus } from '../requests/index.js';

/** Sends replies to one caller. */
export abstract class SessionResponder {
  /** Forwards a part of a backend server's answer. */
  abstract forwardAnswer(bytes: Uint8Array): void;
  /** Acknowledges a statement that the session handled itself. */
  abstract answerDone(): void;
  /** Reports a refusal. */
  abstract refuse(fault: Fault): void;
  /** Completes the answer to a statement. */
  abstract ready(status: TransactionStatus, position: SessionPosition | undefined): void;
  /** Whether the caller takes its answers too slowly for further statements to be run. */
  abstract get isFull(): boolean;
  /** Reports the number and bytes of statements that wait or run. */
  abstract setWaiting(count: number, bytes: number): void;
  /** Pauses or resumes reading from the caller. */
  abstract setReading(reading: boolean): void;
  /**
   * Ends a session that runs no statement, with a refusal. A statement still in transit is answered
   * by this refusal and is not run; later ones don't reach the session.
   */
  abstract endIdle(fault: Fault): void;
}
