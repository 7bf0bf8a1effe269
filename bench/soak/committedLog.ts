import { assertInvariant } from '../../src/common/diagnostics/index.js';
import { toRevision, type TicketNumber } from '../../src/common/ids/index.js';
import {
  CommandKind,
  type Command,
  type CommandAnswer,
  type ControlState,
} from '../../src/decisions/control/index.js';
import { getSubjectName, type Ticket } from '../../src/decisions/tickets/index.js';

interface CommittedCommand {
  readonly index: number;
  readonly command: Command;
  readonly answer: string;
}

/** Every command in the order in which it was first known to be committed, applied once. */
export class CommittedLog {
  readonly state: ControlState;
  /** How many commands of each kind changed the state. */
  readonly changes = new Map<CommandKind, number>();
  private readonly commands: CommittedCommand[] = [];
  private readonly answers = new Map<number, string>();
  private readonly inForce = new Map<string, TicketNumber>();

  constructor(private readonly createState: () => ControlState) {
    this.state = createState();
  }

  /** Applies a command unless its index is known; gives the answer when it is new. */
  add(index: number, command: Command): CommandAnswer | undefined {
    if (this.answers.has(index)) {
      return undefined;
    }
    const answer = this.state.apply(command, toRevision(index));
    if (command.kind === CommandKind.SubmitTicket && answer.changed) {
      this.checkLater(command.ticket);
    }
    if (answer.changed) {
      this.changes.set(command.kind, (this.changes.get(command.kind) ?? 0) + 1);
    }
    const text = JSON.stringify(answer);
    this.commands.push({ index, command, answer: text });
    this.answers.set(index, text);
    return answer;
  }

  getAnswer(index: number): string | undefined {
    return this.answers.get(index);
  }

  private checkLater({ number, subjects }: Ticket): void {
    for (const state of subjects) {
      const subject = getSubjectName(state);
      const isLater = number > (this.inForce.get(subject) ?? 0);
      assertInvariant(isLater, 'a later ticket is replaced by none before it');
      this.inForce.set(subject, number);
    }
  }

  /** The state after the commands up to an index. */
  replay(index: number): ControlState {
    const state = this.createState();
    for (const each of this.commands) {
      if (each.index <= index) {
        state.apply(each.command, toRevision(each.index));
      }
    }
    return state;
  }
}
