import { assertInvariant, Diagnostics } from '../../common/diagnostics/index.js';
import {
  toRevision,
  toTicketNumber,
  type AccountId,
  type GroupId,
  type InstanceId,
  type LeaseId,
  type Revision,
  type TicketNumber,
  type HostId,
  type WindowNumber,
} from '../../common/ids/index.js';
import { getFailureDomainSubject, SubjectKind, type Ticket } from '../tickets/index.js';
import { UsageLedger, type KeptCounts, type WindowCounts } from '../usage/index.js';
import type { Assignment } from './assignment.js';
import { AssignmentRegistry } from './assignmentRegistry.js';
import type { Command, SetControlMembers, SubmitTicket, SwitchDomain } from './command.js';
import type { CommandAnswer } from './commandAnswer.js';
import { CommandKind } from './commandKind.js';
import type { ControlRecord, ControlRecordValue } from './controlRecord.js';
import type { ControlSnapshot } from './controlSnapshot.js';
import type { Holder } from './holder.js';
import type { InstanceRecord } from './instanceRecord.js';
import { PrimaryRegistry } from './primaryRegistry.js';
import type { ReaderAssignment } from './readerAssignment.js';
import { RecordIndex } from './recordIndex.js';
import { RecordKind } from './recordKind.js';
import { getInstanceRecordName, getSubjectRecordName } from './recordNames.js';
import { RecordLookup } from './recordLookup.js';
import { RecordTable } from './recordTable.js';
import type { SubjectInForce } from './subjectInForce.js';
import { TicketRegistry } from './ticketRegistry.js';

/** Ticket number of subjects that were set without a ticket. */
const NO_TICKET = toTicketNumber(0);

/** Replaceable parts of the control state, such as faulty variants in tests. */
export interface ControlStateParts {
  readonly createTicketRegistry?: () => TicketRegistry;
  readonly createAssignments?: (records: RecordTable) => AssignmentRegistry;
}

/** Replicated state machine of the control quorum; deterministic over its commands. */
export class ControlState extends RecordLookup {
  private readonly records = new RecordTable();
  private readonly index = new RecordIndex();
  private readonly tickets: TicketRegistry;
  private readonly assignments: AssignmentRegistry;
  private readonly primaries: PrimaryRegistry;
  private readonly usage = new UsageLedger();
  private appliedRevision = toRevision(0);

  constructor(parts: ControlStateParts = {}) {
    super();
    this.tickets = parts.createTicketRegistry?.() ?? new TicketRegistry();
    this.assignments =
      parts.createAssignments?.(this.records) ?? new AssignmentRegistry(this.records);
    this.primaries = new PrimaryRegistry(this.records, this.assignments);
  }

  /** Revision of the last applied command. */
  get revision(): Revision {
    return this.appliedRevision;
  }

  /** Revision of the last command that changed a record. */
  get changeRevision(): Revision {
    return this.records.revision;
  }

  /** Applies a committed command; `revision` is its index in the control log. */
  apply(command: Command, revision: Revision): CommandAnswer {
    this.appliedRevision = revision;
    switch (command.kind) {
      case CommandKind.SubmitTicket:
        return this.submitTicket(command, revision);
      case CommandKind.SubmitPackedTicket:
        assertInvariant(false, 'a packed ticket is unpacked before it is applied');
      case CommandKind.RegisterInstance:
        return this.registerInstance(command.instance, command.expected, revision);
      case CommandKind.SwitchDomain:
        return this.switchDomain(command, revision);
      case CommandKind.SetControlMembers:
        return this.setControlMembers(command, revision);
      case CommandKind.RecordPrimary:
      case CommandKind.BeginMove:
      case CommandKind.BeginPromotion:
      case CommandKind.CompletePromotion:
      case CommandKind.SettleOrders:
        return toAnswer(this.primaries.apply(command, revision));
      case CommandKind.CommitUsage:
        return toAnswer(this.usage.commit(command.usage));
      case CommandKind.SettleUsage:
        return toAnswer(this.usage.settle(command.window));
      case CommandKind.KeepUsage:
        return toAnswer(this.usage.keep(command.usage));
      default:
        return toAnswer(this.assignments.apply(command, revision));
    }
  }

  /**
   * Returns the records that changed after a revision, in the form sent to daemons, by ascending
   * revision.
   */
  getRecordsSince(revision: Revision): readonly ControlRecord[] {
    return this.records.getSince(revision).map(removeConfigurationSource);
  }

  /** Returns the accepted ticket of that number while it is in force on at least one subject. */
  getTicket(number: TicketNumber): Ticket | undefined {
    return this.tickets.get(number);
  }

  /** Whether a ticket with that number and content was accepted. */
  hasAcceptedTicket(number: TicketNumber, hash: string): boolean {
    return this.tickets.hasAccepted(number, hash);
  }

  /** Whether a ticket of that number was accepted, even if it is no longer in force. */
  isAcceptedTicket(number: TicketNumber): boolean {
    return this.tickets.isAccepted(number);
  }

  override getInstances(group: GroupId): readonly InstanceRecord[] {
    return this.index.getInstances(group);
  }

  override getDepartedInstances(group: GroupId): readonly InstanceRecord[] {
    return this.index.getDepartedInstances(group);
  }

  /** Returns the groups with at least one registered instance. */
  getGroups(): readonly GroupId[] {
    return this.index.getGroups();
  }

  getAccounts(): readonly AccountId[] {
    return this.index.getAccounts();
  }

  /** Returns all subjects with the tickets in force on them. */
  getSubjects(): readonly SubjectInForce[] {
    return this.index
      .getSubjects()
      .map((name) => this.getSubject(name))
      .filter((each) => each !== undefined);
  }

  /** Returns one holder for each lease that holds a resource. */
  getHolders(): readonly Holder[] {
    return this.assignments.getHolders();
  }

  /** Returns one holder for each lease of a host that holds a resource. */
  getHoldersOf(host: HostId): readonly Holder[] {
    return this.assignments.getHoldersOf(host);
  }

  /** Returns the assignments whose holder has the lease. */
  getAssignments(lease: LeaseId): readonly Assignment[] {
    return this.assignments.getAssignments(lease);
  }

  /** Returns the reader assignments of a group's replicas, including replicas that are gone. */
  getReaders(group: GroupId): readonly ReaderAssignment[] {
    return this.assignments.getReaders(group);
  }

  /** Returns the revision of a record; 0 when there is none. */
  override getRecordRevision(name: string): Revision {
    return this.records.get(name)?.revision ?? toRevision(0);
  }

  /** Returns the revision of the command that set a subject's state; 0 for none. */
  getSubjectRevision(subject: string): Revision {
    return this.getRecordRevision(getSubjectRecordName(subject));
  }

  /**
   * Returns the revision of the ticket that sets whether a backend server is leaving; 0 for none.
   */
  getLeavingRevision(group: GroupId, instance: InstanceId): Revision {
    const subject = `${SubjectKind.BackendServer}/${group}/${instance}`;
    return this.getSubjectRevision(subject);
  }

  isRetired(lease: LeaseId): boolean {
    return this.assignments.isRetired(lease);
  }

  /** Last window whose usage was committed; undefined for none. */
  get committedUsage(): WindowNumber | undefined {
    return this.usage.committed;
  }

  /** Committed usage that has not been reported, by ascending window. */
  get pendingUsage(): readonly WindowCounts[] {
    return this.usage.pending;
  }

  /** Counts of hosts that fell silent, of windows that are not committed. */
  get keptUsage(): readonly KeptCounts[] {
    return this.usage.kept;
  }

  /** Returns a copy of the state as plain data. */
  createSnapshot(): ControlSnapshot {
    const usage = this.usage.createSnapshot();
    return {
      revision: this.appliedRevision,
      records: this.records.getSince(toRevision(0)),
      tickets: this.tickets.createSnapshot(),
      retiredLeases: this.assignments.getRetiredLeases(),
      ...(usage === undefined ? {} : { usage }),
    };
  }

  /** Replaces the state with that of a snapshot. */
  restore(snapshot: ControlSnapshot): void {
    this.appliedRevision = snapshot.revision;
    this.records.clear();
    this.index.clear();
    for (const record of snapshot.records) {
      this.records.put(record);
      this.index.add(record.value);
    }
    this.tickets.restore(snapshot.tickets);
    this.assignments.restore(snapshot.retiredLeases);
    this.usage.restore(snapshot.usage);
  }

  private submitTicket({ ticket, hash }: SubmitTicket, revision: Revision): CommandAnswer {
    const { answer, isNew } = this.tickets.submit(ticket, hash);
    if (isNew) {
      for (const state of ticket.subjects) {
        this.set({ kind: RecordKind.Subject, ticket: ticket.number, state }, revision);
      }
    }
    return { changed: isNew, ticket: answer };
  }

  private registerInstance(
    instance: InstanceRecord,
    expected: Revision,
    revision: Revision,
  ): CommandAnswer {
    const name = getInstanceRecordName(instance.group, instance.instance);
    if (this.getRecordRevision(name) !== expected) {
      return toAnswer(false);
    }
    const present = this.getInstance(instance.group, instance.instance);
    const hasRestarted =
      present?.startedMs !== undefined && present.startedMs !== instance.startedMs;
    const { covered, restarted: known = present?.restarted, ...record } = instance;
    const isCovered = covered === true && !hasRestarted;
    const restarted = hasRestarted ? revision : known;
    this.set(
      {
        ...record,
        ...(restarted === undefined || isCovered ? {} : { restarted }),
        ...(isCovered && instance.gone === true ? { covered } : {}),
      },
      revision,
    );
    return toAnswer(true);
  }

  /**
   * An accepted order sets the record even if the state stays the same, so that no earlier order
   * that is still on its way is accepted after it.
   */
  private switchDomain(command: SwitchDomain, revision: Revision): CommandAnswer {
    const { domain, inService, expected } = command;
    const state = { kind: SubjectKind.FailureDomain, domain, inService } as const;
    const subject = getFailureDomainSubject(domain);
    if (expected !== undefined && this.getSubjectRevision(subject) !== expected) {
      return toAnswer(false);
    }
    const isSame = this.isInService(domain) === inService;
    if (expected === undefined && isSame) {
      return { changed: false, revision };
    }
    const ticket = isSame ? this.getSubject(subject)?.ticket : undefined;
    this.set({ kind: RecordKind.Subject, ticket: ticket ?? NO_TICKET, state }, revision);
    return { changed: true, revision };
  }

  private setControlMembers(command: SetControlMembers, revision: Revision): CommandAnswer {
    const { members, expected } = command;
    if (this.getSubjectRevision(SubjectKind.ControlMembers) !== expected) {
      return toAnswer(false);
    }
    const state = { kind: SubjectKind.ControlMembers, members } as const;
    this.set({ kind: RecordKind.Subject, ticket: NO_TICKET, state }, revision);
    return toAnswer(true);
  }

  private set(value: ControlRecordValue, revision: Revision): void {
    this.records.set(value, revision);
    this.index.add(value);
  }

  protected override findValue(name: string): ControlRecordValue | undefined {
    return this.records.get(name)?.value;
  }
}

/**
 * Daemons get the configuration without its source text, which operators read from the control
 * quorum.
 */
function removeConfigurationSource(record: ControlRecord): ControlRecord {
  const { value } = record;
  if (value.kind !== RecordKind.Subject || value.state.kind !== SubjectKind.Configuration) {
    return record;
  }
  return { ...record, value: { ...value, state: { ...value.state, source: '' } } };
}

function toAnswer(changed: boolean): CommandAnswer {
  return changed ? { changed } : { changed, refusal: Diagnostics.CommandOutdated.code };
}
