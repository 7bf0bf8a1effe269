import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { toRevision, type FailureDomain } from '../../common/ids/index.js';
import type { Outcome } from '../../common/result.js';
import type { TimerService } from '../../common/timer/index.js';
import { waitForPendingInput } from '../../common/tasks/index.js';
import type { CommandAnswer, SubjectStatus } from '../../decisions/control/index.js';
import {
  getFailureDomainSubject,
  SubjectKind,
  type SubjectState,
} from '../../decisions/tickets/index.js';
import type { ArrivalMonitor } from './arrivalMonitor.js';
import type { ControlClient } from './controlClient.js';

const MAXIMUM_ATTEMPTS = 3;
/**
 * Longest time from an order's arrival until its revision is read: less than the second after which
 * its caller may have sent a newer order to another host.
 */
const MAXIMUM_AGE_MS = 900;
/**
 * Longest time until a close is received that was sent before. After bytes that the network had
 * delayed it follows a round trip and a delayed acknowledgement later, which takes up to 200 ms.
 */
const CLOSE_DELAY_MS = 300;
const STEP = 'operators.order';

/**
 * Carries out operators' orders to take failure domains out of service or back into service.
 *
 * The orders have no number: an old one that waited in the network or in the socket of a suspended
 * host, or that is resent after a lost answer, looks like a new one. An order therefore only takes
 * effect if its caller still waited for it when the revision of the domain's record was read, and
 * if no other order has changed that revision since. A caller that sends a newer order has had the
 * answer to the older one, or has waited a second for it; most have closed its connection by then.
 */
export class DomainOrders {
  constructor(
    private readonly control: ControlClient,
    private readonly arrivals: ArrivalMonitor,
    private readonly timer: TimerService,
  ) {}

  /**
   * Carries out an order that was just read from its connection. A fault if the caller has left or
   * no longer waits, or if the control quorum can't be reached or keeps accepting other orders for
   * the domain.
   */
  async carryOut(
    domain: FailureDomain,
    inService: boolean,
    isAbandoned: () => boolean,
  ): Promise<Result<CommandAnswer, Fault>> {
    const arrivedMs = this.timer.now() - this.arrivals.getLongestWaitMs();
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const read = await this.readStatus(domain);
      if (read.isErr()) {
        return err(read.error);
      }
      const { state, revision = toRevision(0) } = read.value ?? {};
      if (attempt > 0 && isSwitchedTo(state, inService)) {
        // Another order of the same content was carried out after this one had arrived.
        return ok({ changed: false, revision });
      }
      if (this.timer.now() - arrivedMs > MAXIMUM_AGE_MS) {
        // The close of a caller whose host was lost or cut off never arrives.
        return err(createFault(Diagnostics.OrderLate, {}, { step: STEP }));
      }
      await this.waitForClose();
      if (isAbandoned()) {
        return err(createFault(Diagnostics.OrderAbandoned, {}, { step: STEP }));
      }
      const switched = await this.control.switchDomain(domain, inService, revision);
      if (switched.isErr()) {
        return err(switched.error);
      }
      if (switched.value.refusal === undefined) {
        return ok(switched.value);
      }
    }
    return err(createFault(Diagnostics.OrderSuperseded, { domain }, { step: STEP }));
  }

  /** Waits until a close is read that the caller sent before now. */
  private async waitForClose(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.timer.once(CLOSE_DELAY_MS, () => resolve());
    });
    await waitForPendingInput();
  }

  private readStatus(domain: FailureDomain): Outcome<SubjectStatus | undefined> {
    return this.control.readInForce(getFailureDomainSubject(domain)).map(([status]) => status);
  }
}

function isSwitchedTo(state: SubjectState | undefined, inService: boolean): boolean {
  return state?.kind === SubjectKind.FailureDomain && state.inService === inService;
}
