import type { AccountId, WindowNumber } from '../../common/ids/index.js';

/** Counts the requests that begin to run on instances. */
export abstract class StatementCounter {
  /** Counts a request that begins to run now; returns the window that it is counted in. */
  abstract begin(account: AccountId): WindowNumber;
  /** Takes back a request that its instance refused as not run. */
  abstract cancel(account: AccountId, window: WindowNumber): void;
}
