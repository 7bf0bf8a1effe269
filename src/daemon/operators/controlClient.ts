import type { Outcome } from '../../common/result.js';
import type {
  Announcement,
  CommandAnswer,
  Departure,
  SubjectStatus,
  TicketAnswer,
} from '../../decisions/control/index.js';
import type { Ticket } from '../../decisions/tickets/index.js';
import type { FailureDomain, Revision, TicketNumber } from '../../common/ids/index.js';
import type { FleetStatus } from './fleetStatus.js';

/** Sends requests of a daemon's HTTP interface to the control leader, on whichever host it runs. */
export abstract class ControlClient {
  /** Submits a ticket; idempotent, so that it may be resent if the answer was lost. */
  abstract submitTicket(ticket: Ticket): Outcome<TicketAnswer>;
  /** Reads an accepted ticket; undefined if there is none of that number. */
  abstract readTicket(number: TicketNumber): Outcome<Ticket | undefined>;
  /** Reads the state in force through a read barrier, of one subject or, if undefined, of all. */
  abstract readInForce(subject: string | undefined): Outcome<readonly SubjectStatus[]>;
  /** Reads the text of the configuration in force through a read barrier; undefined for none. */
  abstract readConfigurationSource(): Outcome<string | undefined>;
  /** Reads the state of the fleet that the control leader has recorded. */
  abstract readStatus(): Outcome<FleetStatus>;
  /**
   * Takes a failure domain out of service or puts it back if the domain's record still has the
   * revision `expected`. May be sent several times, so that a refusal doesn't tell whether one of
   * them was accepted.
   */
  abstract switchDomain(
    domain: FailureDomain,
    inService: boolean,
    expected: Revision,
  ): Outcome<CommandAnswer>;
  /** Forwards a backend server's report that it has left permanently. */
  abstract announceDeparture(departure: Departure): void;
  /** Accepts a backend server's announcement; sends the newest of each instance to the leader. */
  abstract announce(announcement: Announcement): void;
}
