import { ResponseReceiver, type RequestOutcome } from '../requests/index.js';

/** Forwards the answer to an attempt and reports its outcome first. */
export class ObservedAttempt extends ResponseReceiver {
  constructor(
    private readonly receiver: ResponseReceiver,
    private readonly onOutcome: (outcome: RequestOutcome) => void,
  ) {
    super();
  }

  override accept(bytes: Uint8Array): void {
    this.receiver.accept(bytes);
  }

  override finish(outcome: RequestOutcome): void {
    this.onOutcome(outcome);
    this.receiver.finish(outcome);
  }
}
