import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { Outcome } from '../../src/common/result.js';
import type { Fault } from '../../src/common/diagnostics/index.js';
import {
  toHostId,
  toRevision,
  toTicketNumber,
  type FailureDomain,
  type Revision,
  type TicketNumber,
} from '../../src/common/ids/index.js';
import {
  CommandKind,
  ControlState,
  TicketRegistry,
  type Announcement,
  type CommandAnswer,
  type Departure,
  type SubjectStatus,
  type SwitchDomain,
  type TicketAnswer,
} from '../../src/decisions/control/index.js';
import { getSubjectName, SubjectKind, type Ticket } from '../../src/decisions/tickets/index.js';
import { ControlClient, type FleetStatus } from '../../src/daemon/operators/index.js';

/** A control client for tests: one register in memory, which can be made to fail. */
export class MemoryControlClient extends ControlClient {
  readonly announcements: Announcement[] = [];
  readonly departures: Departure[] = [];
  readonly domains: FailureDomain[] = [];
  readonly submitted: Ticket[] = [];
  /** When set, the next `faultsLeft` requests end with it. */
  fault: Fault | undefined;
  faultsLeft = Infinity;
  requests = 0;
  /** When set, answers wait for it. */
  gate: Promise<void> | undefined;
  /** When set, orders about failure domains are carried out after it. */
  switchGate: Promise<void> | undefined;
  status: FleetStatus = {
    leader: toHostId('a1'),
    controlTerm: 3,
    revision: toRevision(40),
    daemons: [],
    groups: [],
    accounts: [],
  };
  private readonly register = new TicketRegistry();
  private readonly state = new ControlState();
  private revision = toRevision(0);
  private readonly readings = new Map<string, SubjectStatus>();

  override submitTicket(ticket: Ticket): Outcome<TicketAnswer> {
    this.submitted.push(ticket);
    return this.answer(() => this.accept(ticket));
  }

  override readTicket(number: TicketNumber): Outcome<Ticket | undefined> {
    return this.answer(() => this.register.get(number));
  }

  override readInForce(subject: string | undefined): Outcome<readonly SubjectStatus[]> {
    return this.answer(() =>
      [...this.readings.values()].filter(
        (reading) => subject === undefined || reading.subject === subject,
      ),
    );
  }

  override readConfigurationSource(): Outcome<string | undefined> {
    return this.answer(() => {
      const state = this.readings.get(SubjectKind.Configuration)?.state;
      return state?.kind === SubjectKind.Configuration ? state.source : undefined;
    });
  }

  override readStatus(): Outcome<FleetStatus> {
    return this.answer(() => this.status);
  }

  override announce(announcement: Announcement): void {
    this.announcements.push(announcement);
  }

  override switchDomain(
    domain: FailureDomain,
    inService: boolean,
    expected: Revision,
  ): Outcome<CommandAnswer> {
    this.domains.push(domain);
    const kind = CommandKind.SwitchDomain;
    const carryOut = () => this.answer(() => this.apply({ kind, domain, inService, expected }));
    const { switchGate } = this;
    return switchGate === undefined
      ? carryOut()
      : ResultAsync.fromSafePromise(switchGate).andThen(carryOut);
  }

  /** Whether the orders carried out so far leave a failure domain in service. */
  isInService(domain: FailureDomain): boolean {
    return this.state.isInService(domain);
  }

  override announceDeparture(departure: Departure): void {
    this.departures.push(departure);
  }

  private apply(command: SwitchDomain): CommandAnswer {
    this.revision = toRevision(this.revision + 1);
    const answer = this.state.apply(command, this.revision);
    const { domain, inService } = command;
    if (answer.refusal === undefined) {
      const state = { kind: SubjectKind.FailureDomain, domain, inService } as const;
      const subject = getSubjectName(state);
      const status = { ticket: toTicketNumber(0), everywhere: true, missing: [] };
      this.readings.set(subject, { ...status, subject, state, revision: this.revision });
    }
    return answer;
  }

  private answer<Value>(compute: () => Value): Outcome<Value> {
    this.requests += 1;
    const { gate } = this;
    if (this.fault !== undefined && this.faultsLeft > 0) {
      this.faultsLeft -= 1;
      return errAsync(this.fault);
    }
    return gate === undefined
      ? okAsync(compute())
      : ResultAsync.fromSafePromise(gate.then(() => compute()));
  }

  private accept(ticket: Ticket): TicketAnswer {
    const { answer, isNew } = this.register.submit(ticket);
    for (const state of isNew ? ticket.subjects : []) {
      const subject = getSubjectName(state);
      const reading = { subject, ticket: ticket.number, state, everywhere: true, missing: [] };
      this.readings.set(subject, reading);
    }
    return answer;
  }
}
