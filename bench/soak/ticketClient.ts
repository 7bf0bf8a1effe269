import { assertInvariant } from '../../src/common/diagnostics/index.js';
import type { TicketNumber } from '../../src/common/ids/index.js';
import {
  CommandKind,
  TicketOutcome,
  type CommandAnswer,
  type ControlState,
} from '../../src/decisions/control/index.js';
import { getContentHash, type Ticket } from '../../src/decisions/tickets/index.js';
import type { FakeFleet } from '../../tests/support/fleet/index.js';
import type { ControlSeat } from './controlSeat.js';

const CLIENT = 'client';
const RESEND_MS = 300;
const READ_BACK_MS = 200;

/** The control hosts as an operator's tool reaches them. */
export interface TicketHosts {
  readonly truth: ControlState;
  deliver(number: number, act: (seat: ControlSeat) => void): void;
}

interface Submission {
  readonly ticket: Ticket;
  nextMs: number;
}

/** Submits tickets to any control host until they are answered, and checks the answers. */
export class TicketClient {
  /** Content of each ticket number that was answered as accepted. */
  readonly accepted = new Map<TicketNumber, string>();
  refusedCount = 0;
  readBackCount = 0;
  private readonly outcomes = new Map<string, TicketOutcome>();
  private readonly submissions = new Set<Submission>();
  private nextReadMs = 0;

  constructor(
    private readonly fleet: FakeFleet,
    private readonly hosts: TicketHosts,
  ) {}

  /** Tickets without an answer. */
  get waitingCount(): number {
    return this.submissions.size;
  }

  submit(ticket: Ticket): void {
    this.submissions.add({ ticket, nextMs: this.fleet.nowMs });
  }

  step(): void {
    const { nowMs } = this.fleet;
    for (const submission of this.submissions) {
      if (nowMs >= submission.nextMs) {
        submission.nextMs = nowMs + RESEND_MS;
        this.send(submission);
      }
    }
    if (nowMs >= this.nextReadMs) {
      this.nextReadMs = nowMs + READ_BACK_MS;
      this.readBack();
    }
  }

  /** Every accepted ticket is known to a state, and none is undone. */
  checkAccepted(state: ControlState, numbers: Iterable<TicketNumber>): void {
    for (const number of numbers) {
      assertInvariant(state.isAcceptedTicket(number), 'an accepted ticket never reverts');
    }
  }

  private send(submission: Submission): void {
    const { ticket } = submission;
    this.reach((seat) => {
      seat.propose({ kind: CommandKind.SubmitTicket, ticket }, (answer) =>
        this.fleet.network.send(seat.name, CLIENT, this.fleet.nowMs, () =>
          this.receive(submission, answer),
        ),
      );
    });
  }

  /** Reads back from whichever host believes to lead: it must know all that was accepted before. */
  private readBack(): void {
    const numbers = [...this.accepted.keys()];
    this.reach((seat) => {
      seat.read(() => {
        this.readBackCount++;
        this.checkAccepted(seat.state, numbers);
      });
    });
  }

  private reach(act: (seat: ControlSeat) => void): void {
    const number = Math.floor(this.fleet.random.next() * 5);
    this.fleet.network.send(CLIENT, `c${number}`, this.fleet.nowMs, () =>
      this.hosts.deliver(number, (seat) => {
        if (seat.isLeading) {
          act(seat);
        }
      }),
    );
  }

  private receive(submission: Submission, { ticket: answer }: CommandAnswer): void {
    const { ticket } = submission;
    assertInvariant(answer?.number === ticket.number, 'a ticket gets its own answer');
    this.submissions.delete(submission);
    const hash = getContentHash(ticket);
    const key = `${ticket.number} ${hash}`;
    const earlier = this.outcomes.get(key) ?? answer.outcome;
    assertInvariant(earlier === answer.outcome, 'a ticket sent again gets the same answer');
    this.outcomes.set(key, answer.outcome);
    if (answer.outcome === TicketOutcome.Refused) {
      this.refusedCount++;
      return;
    }
    const winner = this.accepted.get(ticket.number) ?? hash;
    assertInvariant(winner === hash, 'an equal ticket number is accepted once');
    this.accepted.set(ticket.number, hash);
  }
}
