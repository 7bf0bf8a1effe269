import { ResponseReceiver, type RequestOutcome, type RunningRequest } from '../requests/index.js';
import type { SessionReplies } from './sessionReplies.js';

/** Passes the answer to one statement on to the caller. */
export class StatementReceiver extends ResponseReceiver {
  isFinished = false;
  running: RunningRequest | undefined;
  private receivedBytes = 0;

  constructor(
    private readonly replies: SessionReplies,
    private readonly onFinished: (outcome: RequestOutcome) => void,
  ) {
    super();
  }

  override accept(bytes: Uint8Array): void {
    this.receivedBytes += bytes.length;
    this.replies.passOn(bytes);
    this.running?.consume(this.receivedBytes);
  }

  override finish(outcome: RequestOutcome): void {
    this.isFinished = true;
    this.onFinished(outcome);
  }
}

/** Takes the answer to a rollback that nobody waits for. */
export class RollbackReceiver extends ResponseReceiver {
  constructor(private readonly onFinished: (outcome: RequestOutcome) => void) {
    super();
  }

  override accept(): void {
    // Nobody waits for the answer.
  }

  override finish(outcome: RequestOutcome): void {
    this.onFinished(outcome);
  }
}
