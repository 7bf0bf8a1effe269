import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import type { Steps } from '../../common/tasks/index.js';
import { CommandKind, type SubmitPackedTicket } from '../../decisions/control/index.js';
import { getContentHash, SubjectKind, type Ticket } from '../../decisions/tickets/index.js';

/** Fastest level: a configuration repeats the field names and values of its routes. */
const COMPRESSION_LEVEL = 1;
/** Maximum size of an unpacked ticket, above that of the longest source text with its routes. */
const MAXIMUM_TICKET_BYTES = 67_108_864;

const codec = new Packr({ useRecords: false, int64AsType: 'number' });

/** Whether a ticket may be so large that it is packed once, by the host that received it. */
export function isPackedTicket({ subjects }: Ticket): boolean {
  return subjects.some(({ kind }) => kind === SubjectKind.Configuration);
}

/** Packs a ticket for the log, in several steps. */
export function* packTicketInSteps(ticket: Ticket): Steps<SubmitPackedTicket> {
  const hash = getContentHash(ticket);
  yield;
  const packed = codec.pack(ticket);
  yield;
  const bytes = deflateRawSync(packed, { level: COMPRESSION_LEVEL });
  return { kind: CommandKind.SubmitPackedTicket, number: ticket.number, hash, bytes };
}

/** Unpacks a ticket without validating it; the fault says that the bytes are not one. */
export function tryUnpackTicket(bytes: Uint8Array): Result<unknown, Fault> {
  try {
    const packed = inflateRawSync(bytes, { maxOutputLength: MAXIMUM_TICKET_BYTES });
    return ok(codec.unpack(packed) as unknown);
  } catch (cause) {
    const expected = cause instanceof Error ? cause.message : String(cause);
    const values = { path: '(ticket)', expected: `a packed ticket: ${expected}` };
    return err(createFault(Diagnostics.TicketInvalid, values, { step: 'ticket.unpack' }));
  }
}
