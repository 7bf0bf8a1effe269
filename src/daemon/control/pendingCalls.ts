import type { RequestId } from '../../common/ids/index.js';

/** Callbacks by request, each called once. */
export class PendingCalls<Answer> {
  private readonly calls = new Map<RequestId, (answer: Answer) => void>();

  add(id: RequestId, callback: (answer: Answer) => void): void {
    this.calls.set(id, callback);
  }

  /** Gives the answer to a call; false when nobody waits for it. */
  answer(id: RequestId, answer: Answer): boolean {
    const callback = this.calls.get(id);
    this.calls.delete(id);
    callback?.(answer);
    return callback !== undefined;
  }

  /** Gives the same answer to every call. */
  answerAll(answer: Answer): void {
    for (const id of [...this.calls.keys()]) {
      this.answer(id, answer);
    }
  }
}
