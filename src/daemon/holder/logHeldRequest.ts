import { Diagnostics } from '../../common/diagnostics/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import type { HeldRequest } from './heldRequest.js';
import type { HolderContext } from './holderContext.js';

/** Share of the target latency that a request may wait in a queue without being logged for it. */
const NOTABLE_WAIT_SHARE = 0.25;

/** Logs the outcome of a request at its holder, with the state on which its routing was based. */
export function logHeldRequest(held: HeldRequest, { log, timer, records }: HolderContext): void {
  const { request, fault, declines, startedMs, arrivedMs } = held;
  const nowMs = timer.now();
  const waitMs = (startedMs ?? nowMs) - arrivedMs;
  const isSlow = waitMs > (request.targetMs ?? Infinity) * NOTABLE_WAIT_SHARE;
  const outcome = fault === undefined ? 'ok' : `FP${fault.code}`;
  const isNotable = fault !== undefined || declines > 0 || isSlow;
  log.record(Diagnostics.RequestHeld, { outcome }, isNotable, () => ({
    request: request.trace ?? request.id,
    attempt: request.id,
    ...{ account: request.account, group: request.group, kind: request.kind },
    priority: request.priority,
    instance: held.instance?.id,
    ...{ onReplica: held.onReplica, declines, moves: held.moves, status: held.status },
    primary: records.getPrimary(request.group)?.instance,
    phase: records.getPrimary(request.group)?.phase,
    term: records.getPrimary(request.group)?.term,
    minimum: format(held.minimum),
    position: format(held.routing?.position),
    positionAgeMs: round(held.routing?.ageMs),
    load: held.routing?.load,
    ...(request.instance === undefined ? {} : { reader: true, feedAgeMs: round(held.feedAgeMs) }),
    waitMs: round(waitMs),
    serviceMs: round(startedMs === undefined ? undefined : (held.endedMs ?? nowMs) - startedMs),
    ...(fault === undefined
      ? {}
      : {
          ...{ execution: fault.execution, step: fault.step, peer: fault.peer },
          reason: fault.values.reason,
        }),
  }));
}

function format(position: SessionPosition | undefined): string | undefined {
  return position === undefined ? undefined : `${position.term}.${position.position}`;
}

function round(durationMs: number | undefined): number | undefined {
  return durationMs === undefined ? undefined : Math.round(durationMs);
}
