import type { Outcome } from '../../common/result.js';
import type {
  Announcement,
  Departure,
  SubjectStatus,
  TicketAnswer,
} from '../../decisions/control/index.js';
import type { Ticket } from '../../decisions/tickets/index.js';
import type { FailureDomain, TicketNumber } from '../../common/ids/index.js';
import type { FleetStatus } from './fleetStatus.js';

/** The way from a daemon's HTTP interface to the control quorum, on whichever host its leader is. */
export abstract class ControlClient {
  /** Submits a ticket; idempotent, so that a lost answer may be asked for by resending. */
  abstract submitTicket(ticket: Ticket): Outcome<TicketAnswer>;
  /** Reads an accepted ticket back, or undefined when there is none of that number. */
  abstract readTicket(number: TicketNumber): Outcome<Ticket | undefined>;
  /** Reads what is in force through a read barrier: one subject, or all when none is named. */
  abstract readInForce(subject: string | undefined): Outcome<readonly SubjectStatus[]>;
  /** Reads the state of the fleet as the control leader sees it. */
  abstract readStatus(): Outcome<FleetStatus>;
  /** Takes a failure domain out of service or back; idempotent. */
  abstract switchDomain(domain: FailureDomain, inService: boolean): Outcome<unknown>;
  /** Takes a backend server's word that it is gone for good. */
  abstract announceDeparture(departure: Departure): void;
  /** Takes a backend server's announcement; the newest of each instance goes to the control leader. */
  abstract announce(announcement: Announcement): void;
}
