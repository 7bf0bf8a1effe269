import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import type { TicketNumber } from '../../common/ids/index.js';
import { getContentHash, getSubjectName, type Ticket } from '../tickets/index.js';
import { TicketOutcome, type TicketAnswer } from './ticketAnswer.js';

const MAXIMUM_REPLACED_TICKETS = 100_000;
const STEP = 'ticket.submit';

/** Accepted ticket that is no longer in force on any subject. */
export interface ReplacedTicket {
  readonly number: TicketNumber;
  readonly hash: string;
  readonly subject: string;
}

/** Snapshot of the ticket registry as plain data. */
export interface TicketRegistrySnapshot {
  /** Tickets in force on at least one subject, in the order of acceptance. */
  readonly inForce: readonly Ticket[];
  /** Accepted tickets in force on no subject, oldest first. */
  readonly replaced: readonly ReplacedTicket[];
}

interface TicketInForce {
  readonly ticket: Ticket;
  readonly hash: string;
  readonly subjects: Set<string>;
}

/**
 * Registry of the accepted tickets and of the subjects that each is in force on; repeats the answer
 * to a resent one.
 */
export class TicketRegistry {
  private readonly inForce = new Map<TicketNumber, TicketInForce>();
  private readonly bySubject = new Map<string, TicketNumber>();
  private readonly replaced = new Map<TicketNumber, ReplacedTicket>();

  /** Accepts a ticket, repeats the answer to one that was already accepted, or refuses it. */
  submit(
    ticket: Ticket,
    hash?: string,
  ): { readonly answer: TicketAnswer; readonly isNew: boolean } {
    const known = this.findAccepted(ticket.number);
    if (known !== undefined) {
      const isSame =
        hash === undefined ? this.isSameContent(known.hash, ticket) : known.hash === hash;
      const answer = isSame ? accept(ticket) : refuseTakenNumber(ticket, known.subject);
      return { answer, isNew: false };
    }
    const refusal = this.findRefusal(ticket);
    if (refusal !== undefined) {
      return { answer: refusal, isNew: false };
    }
    this.putInForce(ticket, hash);
    return { answer: accept(ticket), isNew: true };
  }

  /** Whether a ticket with that number and content was accepted. */
  hasAccepted(number: TicketNumber, hash: string): boolean {
    return this.findAccepted(number)?.hash === hash;
  }

  /** Returns the ticket of that number while it is in force on at least one subject. */
  get(number: TicketNumber): Ticket | undefined {
    return this.inForce.get(number)?.ticket;
  }

  /**
   * Whether a ticket of that number was accepted; replaced tickets are remembered up to a maximum
   * number.
   */
  isAccepted(number: TicketNumber): boolean {
    return this.findAccepted(number) !== undefined;
  }

  /** Returns the number of the ticket in force on a subject. */
  getInForce(subject: string): TicketNumber | undefined {
    return this.bySubject.get(subject);
  }

  /** Returns a copy of the registry as plain data. */
  createSnapshot(): TicketRegistrySnapshot {
    return {
      inForce: [...this.inForce.values()].map((entry) => entry.ticket),
      replaced: [...this.replaced.values()],
    };
  }

  /** Replaces the registry's content with that of a snapshot. */
  restore(snapshot: TicketRegistrySnapshot): void {
    this.inForce.clear();
    this.bySubject.clear();
    this.replaced.clear();
    for (const entry of snapshot.replaced) {
      this.replaced.set(entry.number, entry);
    }
    for (const ticket of snapshot.inForce) {
      this.putInForce(ticket);
    }
  }

  /** Whether a ticket has the content of the accepted ticket with its number. */
  protected isSameContent(hash: string, ticket: Ticket): boolean {
    return hash === getContentHash(ticket);
  }

  /** Whether a ticket may replace the one in force on a subject. */
  protected mayReplace(ticket: TicketNumber, inForce: TicketNumber): boolean {
    return ticket > inForce;
  }

  private findAccepted(number: TicketNumber): ReplacedTicket | undefined {
    const entry = this.inForce.get(number);
    if (entry === undefined) {
      return this.replaced.get(number);
    }
    return { number, hash: entry.hash, subject: getFirstSubject(entry.ticket) };
  }

  private findRefusal(ticket: Ticket): TicketAnswer | undefined {
    for (const state of ticket.subjects) {
      const subject = getSubjectName(state);
      const inForce = this.bySubject.get(subject);
      if (inForce !== undefined && !this.mayReplace(ticket.number, inForce)) {
        return refuseOutdated(ticket, inForce, subject);
      }
    }
    return undefined;
  }

  private putInForce(ticket: Ticket, hash = getContentHash(ticket)): void {
    const subjects = new Set<string>();
    this.inForce.set(ticket.number, { ticket, hash, subjects });
    for (const state of ticket.subjects) {
      const subject = getSubjectName(state);
      const earlier = this.bySubject.get(subject);
      this.bySubject.set(subject, ticket.number);
      subjects.add(subject);
      if (earlier !== undefined) {
        this.replaceOnSubject(subject, earlier);
      }
    }
  }

  private replaceOnSubject(subject: string, number: TicketNumber): void {
    const entry = this.inForce.get(number);
    if (entry === undefined) {
      return;
    }
    entry.subjects.delete(subject);
    if (entry.subjects.size > 0) {
      return;
    }
    this.inForce.delete(number);
    this.replaced.set(number, { number, hash: entry.hash, subject });
    this.dropOldestReplaced();
  }

  private dropOldestReplaced(): void {
    const oldest = this.replaced.keys().next();
    if (this.replaced.size > MAXIMUM_REPLACED_TICKETS && oldest.done !== true) {
      this.replaced.delete(oldest.value);
    }
  }
}

function getFirstSubject(ticket: Ticket): string {
  const [first] = ticket.subjects;
  return first === undefined ? '' : getSubjectName(first);
}

function accept(ticket: Ticket): TicketAnswer {
  return { number: ticket.number, outcome: TicketOutcome.Accepted };
}

function refuse(ticket: Ticket, fault: Fault): TicketAnswer {
  const code = fault.diagnostic.code;
  return { number: ticket.number, outcome: TicketOutcome.Refused, code, reason: fault.message };
}

function refuseTakenNumber(ticket: Ticket, subject: string): TicketAnswer {
  const values = { number: ticket.number, subject };
  return refuse(ticket, createFault(Diagnostics.TicketNumberTaken, values, { step: STEP }));
}

function refuseOutdated(ticket: Ticket, winner: TicketNumber, subject: string): TicketAnswer {
  const values = { number: ticket.number, winner, subject };
  return refuse(ticket, createFault(Diagnostics.TicketOutdated, values, { step: STEP }));
}
