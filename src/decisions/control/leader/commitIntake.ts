import { Diagnostics } from '../../../common/diagnostics/index.js';
import { toRevision, type GroupId, type InstanceId } from '../../../common/ids/index.js';
import { SubjectKind } from '../../tickets/index.js';
import type { Assignment } from '../assignment.js';
import { CommandKind } from '../commandKind.js';
import type { ControlRecord } from '../controlRecord.js';
import { PrimaryPhase, type GroupPrimary } from '../groupPrimary.js';
import type { Holder } from '../holder.js';
import { RecordKind } from '../recordKind.js';
import { getInstanceReaderRecordName } from '../recordNames.js';
import type { SubjectInForce } from '../subjectInForce.js';
import type { Committed } from './controlInput.js';
import { ControlOutputKind } from './controlOutput.js';
import { getCommandKey } from './commandKey.js';
import type { GroupWatch } from './groupWatch.js';
import type { HostRegister } from './hostRegister.js';
import { getWatch, placeGroup, placeReader, type LeaderContext } from './leaderContext.js';

/** Takes in committed commands: pushes the changes and notes what has to be looked at. */
export class CommitIntake {
  private pushedRevision = toRevision(0);

  constructor(
    private readonly context: LeaderContext,
    private readonly hosts: HostRegister,
  ) {}

  /** Begins a leadership: every record counts as changed, and none is pushed. */
  begin(nowMs: number): void {
    const { state } = this.context;
    for (const record of state.getRecordsSince(toRevision(0))) {
      this.noteRecord(record, nowMs);
    }
    this.pushedRevision = state.changeRevision;
  }

  /** Takes in one committed command. */
  receive(committed: Committed, nowMs: number): void {
    const { outbox, leases } = this.context;
    const { command, answer } = committed;
    const key = getCommandKey(command);
    if (key !== undefined) {
      outbox.settle(key);
    }
    if (command.kind === CommandKind.RetireLease) {
      leases.forget(command.lease);
    }
    if (!answer.changed) {
      this.undoPlacement(committed);
    }
    this.push(nowMs);
  }

  private push(nowMs: number): void {
    const { state, leases, outbox } = this.context;
    const revision = state.changeRevision;
    const since = this.pushedRevision;
    if (revision <= since) {
      return;
    }
    const records = state.getRecordsSince(since);
    this.pushedRevision = revision;
    leases.noteCommit(revision, nowMs);
    const hosts = leases.getLive().map((lease) => lease.host);
    const update = { since, revision, records };
    outbox.add({ kind: ControlOutputKind.Update, hosts, update });
    for (const record of records) {
      this.logRecord(record);
      this.noteRecord(record, nowMs);
    }
  }

  /** A refused assignment leaves the resource where the state says. */
  private undoPlacement(committed: Committed): void {
    const { state } = this.context;
    const { command } = committed;
    if (command.kind === CommandKind.AssignGroup) {
      this.place(state.getGroupAssignment(command.group), getCommandKey(command));
      this.context.groupAgenda.add(command.group);
    } else if (command.kind === CommandKind.AssignAccount) {
      this.place(state.getAccountAssignment(command.account), getCommandKey(command));
      this.context.accountAgenda.add(command.account);
    } else if (command.kind === CommandKind.AssignReader) {
      this.noteReader(command.group, command.instance);
    }
  }

  private noteReader(group: GroupId, instance: InstanceId): void {
    const host = this.context.state.getReader(group, instance)?.holder?.host;
    placeReader(this.context, getInstanceReaderRecordName(group, instance), host);
    this.context.groupAgenda.add(group);
  }

  /** A host that came to hold a group is to read no others, where there is a spare one. */
  private lookAtReaders({ host, lease }: Holder): void {
    const { spareHosts, state, groupAgenda } = this.context;
    for (const held of spareHosts.countReaders(host) === 0 ? [] : state.getHeld(lease)) {
      if (held.kind === RecordKind.InstanceReader) {
        groupAgenda.add(held.group);
      }
    }
  }

  private noteRecord(record: ControlRecord, nowMs: number): void {
    const { value, name } = record;
    switch (value.kind) {
      case RecordKind.Subject:
        this.noteSubject(value, nowMs);
        break;
      case RecordKind.Instance:
        this.context.groupAgenda.add(value.group);
        break;
      case RecordKind.GroupHolder: {
        const watch = getWatch(this.context, value.group);
        watch.unheldSinceMs = value.holder === undefined ? nowMs : undefined;
        if (value.holder !== undefined && !value.draining) {
          watch.avoidedHost = undefined;
        }
        if (watch.reporter !== value.holder?.lease) {
          watch.forgetReport();
        }
        this.place(value, name);
        if (value.holder !== undefined) {
          this.lookAtReaders(value.holder);
        }
        this.context.groupAgenda.add(value.group);
        break;
      }
      case RecordKind.AccountHolder:
        this.place(value, name);
        this.context.accountAgenda.add(value.account);
        break;
      case RecordKind.InstanceReader:
        this.noteReader(value.group, value.instance);
        break;
      case RecordKind.Primary:
        this.notePrimary(value, nowMs);
        break;
    }
  }

  private logRecord(record: ControlRecord): void {
    const { value } = record;
    if (value.kind !== RecordKind.Primary) {
      return;
    }
    const { group, instance, term } = value;
    const position = value.history.at(-1)?.position ?? 0;
    const values = { group, instance, term, position };
    this.context.outbox.log(getPrimaryDiagnostic(value), values);
  }

  private notePrimary(primary: GroupPrimary, nowMs: number): void {
    const { group } = primary;
    const watch = getWatch(this.context, group);
    watch.servingSinceMs = primary.phase === PrimaryPhase.Serving ? nowMs : undefined;
    watch.movingSinceMs = primary.phase === PrimaryPhase.Moving ? nowMs : undefined;
    this.noteMove(watch, primary, nowMs);
    if (primary.phase === PrimaryPhase.Promoting) {
      const failed = watch.order === undefined ? undefined : watch.orderedInstance;
      watch.failedInstances =
        failed === undefined ? [] : [...new Set([...watch.failedInstances, failed])];
    } else {
      watch.order = undefined;
      watch.failedInstances = [];
    }
    this.context.groupAgenda.add(group);
  }

  /** Notes a planned move, and when one was given up: the same instance goes on. */
  private noteMove(watch: GroupWatch, primary: GroupPrimary, nowMs: number): void {
    if (primary.phase === PrimaryPhase.Moving) {
      watch.movingInstance = primary.instance;
    } else if (primary.phase === PrimaryPhase.Serving) {
      if (watch.movingInstance === primary.instance) {
        watch.moveEndedMs = nowMs;
      }
      watch.movingInstance = undefined;
    }
  }

  private noteSubject(value: SubjectInForce, nowMs: number): void {
    const { state } = value;
    switch (state.kind) {
      case SubjectKind.Account:
        this.context.accountAgenda.add(state.account);
        break;
      case SubjectKind.Group:
      case SubjectKind.BackendServer:
        this.context.groupAgenda.add(state.group);
        break;
      case SubjectKind.FailureDomain:
        this.hosts.refreshAll(nowMs);
        for (const group of this.context.state.getGroups()) {
          this.context.groupAgenda.add(group);
        }
        break;
      case SubjectKind.Configuration:
        this.noteConfiguration();
        break;
      case SubjectKind.Route:
      case SubjectKind.ControlMembers:
        break;
    }
  }

  private noteConfiguration(): void {
    const { state, accountAgenda, groupAgenda } = this.context;
    for (const account of state.getAccounts()) {
      accountAgenda.add(account);
    }
    for (const group of state.getGroups()) {
      groupAgenda.add(group);
    }
  }

  private place(assignment: Assignment | undefined, name: string | undefined): void {
    const host = assignment?.holder?.host;
    if (name?.startsWith(RecordKind.GroupHolder) === true) {
      placeGroup(this.context, name, host);
    } else if (name !== undefined) {
      this.context.accountPlacement.place(name, host);
    }
  }
}

function getPrimaryDiagnostic(
  primary: GroupPrimary,
): (typeof Diagnostics)[keyof typeof Diagnostics] {
  switch (primary.phase) {
    case PrimaryPhase.Moving:
      return Diagnostics.MoveBegan;
    case PrimaryPhase.Promoting:
      return Diagnostics.PromotionBegan;
    case PrimaryPhase.Serving:
      return primary.history.length === 0
        ? Diagnostics.PrimaryRecorded
        : Diagnostics.PromotionCompleted;
  }
}
