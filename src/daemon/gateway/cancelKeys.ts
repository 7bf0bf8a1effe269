import { randomInt } from 'node:crypto';

const MAXIMUM_NUMBER = 2 ** 31 - 1;

/** The numbers with which a caller's cancel request names its connection. */
export interface CancelKey {
  readonly processId: number;
  readonly secret: number;
}

/** Finds the connection that a cancel request means. */
export class CancelKeys {
  private readonly handlers = new Map<number, { readonly secret: number; cancel(): void }>();

  /** Creates numbers for a connection. */
  add(cancel: () => void): CancelKey {
    let processId = randomInt(1, MAXIMUM_NUMBER);
    while (this.handlers.has(processId)) {
      processId = randomInt(1, MAXIMUM_NUMBER);
    }
    const secret = randomInt(1, MAXIMUM_NUMBER);
    this.handlers.set(processId, { secret, cancel });
    return { processId, secret };
  }

  remove({ processId }: CancelKey): void {
    this.handlers.delete(processId);
  }

  /** Cancels what runs on a connection; wrong numbers are ignored. */
  cancel(processId: number, secret: number): void {
    const handler = this.handlers.get(processId);
    if (handler?.secret === secret) {
      handler.cancel();
    }
  }
}
