import type { Fault } from '../../common/diagnostics/index.js';
import type { Statement } from '../../decisions/routing/index.js';
import type { PreparedStatement } from '../requests/index.js';
import type { BatchItem } from './batchItem.js';

/** What a caller sent up to a Query or Sync: the unit that is routed and answered. */
export interface CallerBatch {
  readonly isSimple: boolean;
  /** Steps of the extended protocol; empty for a simple query. */
  readonly items: readonly BatchItem[];
  /** The statements that are executed, in order. */
  readonly executed: readonly Statement[];
  readonly prepared: readonly PreparedStatement[];
  /** Messages for the backend server, ending with a Query or Sync. */
  readonly payload: readonly Buffer[];
  readonly costClass: string;
  /** Why the batch can't be run, found while it was read. */
  readonly fault: Fault | undefined;
  readonly bytes: number;
}
