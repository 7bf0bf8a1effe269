import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { toRevision, type FailureDomain, type Revision } from '../../common/ids/index.js';
import type { Outcome } from '../../common/result.js';
import type { TimerService } from '../../common/timer/index.js';
import { waitForPendingInput } from '../../common/tasks/index.js';
import type { CommandAnswer } from '../../decisions/control/index.js';
import { getFailureDomainSubject } from '../../decisions/tickets/index.js';
import type { ArrivalMonitor } from './arrivalMonitor.js';
import type { ControlClient } from './controlClient.js';

const MAXIMUM_ATTEMPTS = 3;
/**
 * Longest time from an order's arrival until its revision is read: less than the second after which
 * its caller may have sent a newer order to another host.
 */
const MAXIMUM_AGE_MS = 900;
const STEP = 'operators.order';

/**
 * Carries out operators' orders to take failure domains out of service or back into service.
 *
 * The orders have no number: an old one that waited in the socket of a suspended host, or that is
 * resent after a lost answer, looks like a new one. An order therefore only takes effect if its
 * caller still waited for it after the revision of the domain's record was read, and if no other
 * order has changed that revision since. A caller that sends a newer order has had the answer to
 * the older one, or has waited a second for it; most have closed its connection by then.
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
      const read = await this.readRevision(domain);
      if (read.isErr()) {
        return err(read.error);
      }
      // A close that arrived with the order may not have been read yet.
      await waitForPendingInput();
      if (isAbandoned()) {
        return err(createFault(Diagnostics.OrderAbandoned, {}, { step: STEP }));
      }
      if (this.timer.now() - arrivedMs > MAXIMUM_AGE_MS) {
        // The close of a caller whose host was lost or cut off never arrives.
        return err(createFault(Diagnostics.OrderLate, {}, { step: STEP }));
      }
      const switched = await this.control.switchDomain(domain, inService, read.value);
      if (switched.isErr()) {
        return err(switched.error);
      }
      if (switched.value.refusal === undefined) {
        return ok(switched.value);
      }
    }
    return err(createFault(Diagnostics.OrderSuperseded, { domain }, { step: STEP }));
  }

  private readRevision(domain: FailureDomain): Outcome<Revision> {
    return this.control
      .readInForce(getFailureDomainSubject(domain))
      .map(([status]) => status?.revision ?? toRevision(0));
  }
}
