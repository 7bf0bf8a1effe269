import type { Fault } from '../../src/common/diagnostics/index.js';

/** Lets the wait that a session is in be broken off. */
export class Interruption {
  private abort: ((fault: Fault) => void) | undefined;

  /** Breaks off the present wait, if there is one. */
  raise(fault: Fault): void {
    this.abort?.(fault);
  }

  /** Waits until `start` calls back; its result takes the request back. */
  wait(start: (resolve: () => void) => () => void): Promise<void> {
    return new Promise((resolve, reject) => {
      const takeBack = start(() => {
        this.abort = undefined;
        resolve();
      });
      this.abort = (fault) => {
        this.abort = undefined;
        takeBack();
        reject(fault);
      };
    });
  }
}
