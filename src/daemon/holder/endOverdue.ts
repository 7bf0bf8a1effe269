import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import type { HeldRequest } from './heldRequest.js';

const CANCEL_WAIT_MS = 200;
const UNRESPONSIVE_WAIT_MS = 200;

/** Ends a running request whose deadline has passed or whose connection is unresponsive. */
export function endOverdue(held: HeldRequest, nowMs: number): void {
  const { connection, startedMs, endedMs, deadlineMs } = held;
  if (connection === undefined || startedMs === undefined || endedMs !== undefined) {
    return;
  }
  if (nowMs >= deadlineMs && !held.timedOut) {
    held.timedOut = true;
    connection.cancel();
  } else if (nowMs >= deadlineMs + CANCEL_WAIT_MS || isUnresponsive(held, nowMs)) {
    connection.close();
  }
}

/** Creates the fault of a request that was ended at its deadline. */
export function createTimeoutFault(held: HeldRequest): Fault {
  const values = { deadline: Math.round(held.request.remainingMs) };
  const context = { step: 'holder.timeout', execution: Execution.Unknown };
  return createFault(Diagnostics.StatementTimeout, values, context);
}

/**
 * Whether a request has no answer on a connection that was opened before the instance's connections
 * were last found unresponsive or dead.
 */
function isUnresponsive(held: HeldRequest, nowMs: number): boolean {
  const { connection, request, startedMs = nowMs, instance } = held;
  // A request that may be retried abandons its connection once one was found unresponsive,
  // any other request only once a new connection has shown that older ones are dead.
  const mayRepeat = request.idempotent && request.transaction === undefined;
  const sinceMs = mayRepeat ? instance?.unresponsiveMs : instance?.deadConnectionsMs;
  return (
    sinceMs !== undefined &&
    !held.hasReceived &&
    connection !== undefined &&
    connection.openedMs < sinceMs &&
    nowMs - Math.max(startedMs, sinceMs) > UNRESPONSIVE_WAIT_MS
  );
}
