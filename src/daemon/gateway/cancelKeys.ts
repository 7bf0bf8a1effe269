import { randomInt } from 'node:crypto';

const MAXIMUM_NUMBER = 2 ** 31 - 1;

/** Process id and secret key (BackendKeyData) that identify a connection in a CancelRequest. */
export interface CancelKey {
  readonly processId: number;
  readonly secret: number;
}

/** Registry of the cancel keys of all connections. */
export class CancelKeys {
  private readonly handlers = new Map<number, { readonly secret: number; cancel(): void }>();

  /** Creates a unique key for a connection. */
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

  /** Calls the cancel handler of a connection; an unknown or wrong key is ignored. */
  cancel(processId: number, secret: number): void {
    const handler = this.handlers.get(processId);
    if (handler?.secret === secret) {
      handler.cancel();
    }
  }
}
