import type { Result } from 'neverthrow';
import {
  createFault,
  Diagnostics,
  type Diagnostic,
  type DiagnosticArguments,
  type Fault,
} from '../../common/diagnostics/index.js';
import { toTicketNumber } from '../../common/ids/index.js';
import { TicketOutcome, type TicketAnswer } from '../../decisions/control/index.js';
import type { Ticket } from '../../decisions/tickets/index.js';
import { tryParseAnnouncement } from './announcementBody.js';
import type { ControlClient } from './controlClient.js';
import { createFaultBody } from './faultBody.js';
import { createAnswer, createFaultAnswer, type HttpAnswer } from './httpAnswer.js';
import { HttpStatus } from './httpStatus.js';

const TICKET_NUMBER = /^[1-9]\d{0,15}$/;

/** Processes the requests of operators and backend servers, independently of the HTTP server. */
export class OperatorRequests {
  constructor(
    private readonly control: ControlClient,
    private readonly parseTicket: (body: unknown) => Result<Ticket, Fault>,
  ) {}

  /** Submits a ticket; answers 200 when it is accepted and 409 when it is refused. */
  async submitTicket(body: unknown): Promise<HttpAnswer> {
    const ticket = this.parseTicket(body);
    if (ticket.isErr()) {
      return createFaultAnswer(ticket.error, HttpStatus.BadRequest);
    }
    return this.control.submitTicket(ticket.value).match(createTicketAnswer, createFaultAnswer);
  }

  /** Reads an accepted ticket. */
  async readTicket(number: string): Promise<HttpAnswer> {
    if (!TICKET_NUMBER.test(number) || !Number.isSafeInteger(Number(number))) {
      const problem = 'a ticket number is a positive integer';
      return refuse(Diagnostics.RequestInvalid, { problem }, 'ticket.read');
    }
    return this.control
      .readTicket(toTicketNumber(Number(number)))
      .match(
        (ticket) =>
          ticket === undefined
            ? refuse(Diagnostics.TicketNotInForce, { number }, 'ticket.read')
            : createAnswer(ticket),
        createFaultAnswer,
      );
  }

  /** Reads the state in force of all subjects. */
  async readAllInForce(): Promise<HttpAnswer> {
    return this.control
      .readInForce(undefined)
      .match((subjects) => createAnswer({ subjects }), createFaultAnswer);
  }

  /** Reads the state in force of one subject. */
  async readInForce(subject: string): Promise<HttpAnswer> {
    return this.control
      .readInForce(subject)
      .match(
        ([reading]) =>
          reading === undefined
            ? refuse(Diagnostics.SubjectNotInForce, { subject }, 'ticket.inForce')
            : createAnswer(reading),
        createFaultAnswer,
      );
  }

  /** Reads the state of the fleet. */
  async readStatus(): Promise<HttpAnswer> {
    return this.control.readStatus().match(createAnswer, createFaultAnswer);
  }

  /** Validates a backend server's announcement and passes it on to the control client. */
  announce(body: unknown): HttpAnswer {
    const announcement = tryParseAnnouncement(body);
    if (announcement.isErr()) {
      return createFaultAnswer(announcement.error);
    }
    this.control.announce(announcement.value);
    return { status: HttpStatus.NoContent };
  }
}

function refuse(diagnostic: Diagnostic, values: DiagnosticArguments, step: string): HttpAnswer {
  return createFaultAnswer(createFault(diagnostic, values, { step }));
}

function createTicketAnswer(answer: TicketAnswer): HttpAnswer {
  if (answer.outcome === TicketOutcome.Accepted) {
    return createAnswer(answer);
  }
  const fault = createFault(
    Diagnostics.TicketRefused,
    { reason: answer.reason ?? 'no reason was given' },
    { step: 'ticket.submit' },
  );
  const faultBody = createFaultBody(fault);
  const body =
    answer.code === undefined
      ? faultBody
      : { ...faultBody, code: answer.code, message: answer.reason ?? faultBody.message };
  return { status: HttpStatus.Conflict, body };
}
