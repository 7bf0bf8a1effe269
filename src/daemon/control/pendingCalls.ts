import type { RequestId } from '../../common/ids/index.js';

/** Pending calls by request id; the callback of each is called at most once. */
export class PendingCalls<Answer> {
  private readonly calls = new Map<RequestId, (answer: Answer) => void>();

  add(id: RequestId, callback: (answer: Answer) => void): void {
    this.calls.set(id, callback);
  }

  /** Passes the answer to the callback of a call; returns false if no such call is pending. */
  answer(id: RequestId, answer: Answer): boolean {
    const callback = this.calls.get(id);
    this.calls.delete(id);
    callback?.(answer);
    return callback !== undefined;
  }

  /** Passes the same answer to the callbacks of all pending calls. */
  answerAll(answer: Answer): void {
    for (const id of [...this.calls.keys()]) {
      this.answer(id, answer);
    }
  }
}
