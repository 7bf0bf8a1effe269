import { Diagnostics } from '../../common/diagnostics/index.js';
import type { RequestFault } from './requestFault.js';

const BUSY_REFUSALS: ReadonlySet<number> = new Set([
  Diagnostics.QueueDeadline.code,
  Diagnostics.QueueWaitExceeded.code,
  Diagnostics.QueueFull.code,
]);

/** Whether a holder or reader refused a request because too many others were waiting. */
export function isBusyRefusal({ code }: RequestFault): boolean {
  return BUSY_REFUSALS.has(code);
}
