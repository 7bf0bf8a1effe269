import { ResponseReceiver, type RequestOutcome, type RunningRequest } from '../requests/index.js';
import type { SessionResponder } from './sessionResponder.js';

/** Forwards the answer to one statement to the caller. */
export class StatementReceiver extends ResponseReceiver {
  isFinished = false;
  running: RunningRequest | undefined;
  private receivedBytes = 0;

  constructor(
    private readonly responder: SessionResponder,
    private readonly onFinished: (outcome: RequestOutcome) => void,
  ) {
    super();
  }

  override accept(bytes: Uint8Array): void {
    this.receivedBytes += bytes.length;
    this.responder.forwardAnswer(bytes);
    this.running?.consume(this.receivedBytes);
  }

  override finish(outcome: RequestOutcome): void {
    this.isFinished = true;
    this.onFinished(outcome);
  }
}

/** Receives the answer to a rollback that the session does not wait for. */
export class RollbackReceiver extends ResponseReceiver {
  constructor(private readonly onFinished: (outcome: RequestOutcome) => void) {
    super();
  }

  override accept(): void {
    // The bytes of the answer are not used.
  }

  override finish(outcome: RequestOutcome): void {
    this.onFinished(outcome);
  }
}
