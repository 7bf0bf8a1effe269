import { Diagnostics } from '../../common/diagnostics/index.js';

const CAPACITY_REFUSALS: ReadonlySet<number> = new Set([
  Diagnostics.QueueFull.code,
  Diagnostics.QueueDeadline.code,
  Diagnostics.QueueWaitExceeded.code,
]);

/** Whether a request was refused because an instance had no slot for it in time. */
export function isCapacityRefusal(code: number): boolean {
  return CAPACITY_REFUSALS.has(code);
}
