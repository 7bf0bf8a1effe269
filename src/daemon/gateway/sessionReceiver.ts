import { ResponseReceiver, type RequestOutcome, type RunningRequest } from '../requests/index.js';
import type { CallerWriter } from './callerWriter.js';

/** Forwards an answer to the caller, and reports its bytes as consumed once they are flushed. */
export class SessionReceiver extends ResponseReceiver {
  running: RunningRequest | undefined;
  isFinished = false;
  private receivedBytes = 0;

  constructor(
    private readonly writer: CallerWriter,
    private readonly onFinished: (outcome: RequestOutcome) => void,
  ) {
    super();
  }

  override accept(bytes: Uint8Array): void {
    this.receivedBytes += bytes.length;
    const { receivedBytes: total } = this;
    this.writer.write(bytes, () => this.running?.consume(total));
  }

  override finish(outcome: RequestOutcome): void {
    this.isFinished = true;
    this.onFinished(outcome);
  }
}
