import type { Fault } from '../../common/diagnostics/index.js';
import type { Statement } from '../../decisions/routing/index.js';
import type { PreparedStatement } from '../requests/index.js';
import type { BatchItem } from './batchItem.js';

/** The messages of a caller up to a Query or Sync: the unit that is routed and answered. */
export interface CallerBatch {
  readonly isSimple: boolean;
  /** Steps of an extended-protocol batch; empty for a simple query. */
  readonly items: readonly BatchItem[];
  /** The executed statements, in order. */
  readonly executed: readonly Statement[];
  readonly prepared: readonly PreparedStatement[];
  /** Messages for the backend server; the last one is a Query or Sync. */
  readonly payload: readonly Buffer[];
  readonly costClass: string;
  /** Fault that refuses the batch, if a message in it was invalid, unsupported or too large. */
  readonly fault: Fault | undefined;
  readonly bytes: number;
}
