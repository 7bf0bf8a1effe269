import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import type { TicketNumber } from '../../common/ids/index.js';
import { runStepsInTurns } from '../../common/tasks/index.js';
import {
  CommandKind,
  TicketOutcome,
  type Command,
  type CommandAnswer,
  type ControlState,
  type SubmitPackedTicket,
} from '../../decisions/control/index.js';
import { parseTicketInSteps } from '../../decisions/tickets/index.js';
import { tryUnpackTicket } from './ticketPacking.js';

type Proposer = (command: Command) => Promise<Result<CommandAnswer, Fault>>;

/**
 * Proposes packed tickets to the control log. A ticket that is resent while its proposal is pending
 * waits for that one, and one that was accepted is answered from the control state, so that large
 * tickets are validated and written once however often they arrive.
 */
export class TicketSubmissions {
  private readonly pending = new Map<string, Promise<Result<unknown, Fault>>>();

  constructor(
    private readonly state: ControlState,
    private readonly propose: Proposer,
  ) {}

  /** Submits a ticket that was received over the mesh; resolves with its answer. */
  submit(content: unknown): Promise<Result<unknown, Fault>> {
    const packed = readPacked(content);
    if (packed === undefined) {
      return Promise.resolve(err(createInvalid('expected a packed ticket')));
    }
    const { number, hash } = packed;
    if (this.state.hasAcceptedTicket(number, hash)) {
      return Promise.resolve(ok({ number, outcome: TicketOutcome.Accepted }));
    }
    const key = `${number} ${hash}`;
    const known = this.pending.get(key);
    if (known !== undefined) {
      return known;
    }
    const submitted = this.checkAndPropose(packed).finally(() => this.pending.delete(key));
    this.pending.set(key, submitted);
    return submitted;
  }

  /** Validates a ticket before it is proposed, as every member will apply it. */
  private async checkAndPropose(packed: SubmitPackedTicket): Promise<Result<unknown, Fault>> {
    const unpacked = tryUnpackTicket(packed.bytes);
    if (unpacked.isErr()) {
      return err(unpacked.error);
    }
    const checked = await runStepsInTurns(parseTicketInSteps(unpacked.value));
    if (checked.isErr()) {
      return err(checked.error);
    }
    if (checked.value.number !== packed.number) {
      return err(createInvalid(`expected the number ${packed.number}`));
    }
    const proposed = await this.propose(packed);
    return proposed.map(({ ticket }) => ticket);
  }
}

function readPacked(content: unknown): SubmitPackedTicket | undefined {
  const { number, hash, bytes } = (content ?? {}) as Record<string, unknown>;
  return typeof number === 'number' && typeof hash === 'string' && bytes instanceof Uint8Array
    ? { kind: CommandKind.SubmitPackedTicket, number: number as TicketNumber, hash, bytes }
    : undefined;
}

function createInvalid(expected: string): Fault {
  const values = { path: '(ticket)', expected };
  return createFault(Diagnostics.TicketInvalid, values, { step: 'ticket.submit' });
}
