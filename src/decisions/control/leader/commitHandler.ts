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
import type { GroupTracker } from './groupTracker.js';
import type { HostRegistry } from './hostRegistry.js';
import { getTracker, placeGroup, placeReader, type LeaderContext } from './leaderContext.js';

/**
 * Handles committed commands: pushes changed records to daemons and queues the groups and accounts
 * that they affect.
 */
export class CommitHandler {
  private pushedRevision = toRevision(0);

  constructor(
    private readonly context: LeaderContext,
    private readonly hosts: HostRegistry,
  ) {}

  /** Begins a leadership: processes every record as changed, and pushes none. */
  begin(nowMs: number): void {
    const { state } = this.context;
    for (const record of state.getRecordsSince(toRevision(0))) {
      this.processRecord(record, nowMs);
    }
    this.pushedRevision = state.changeRevision;
  }

  /** Handles a committed command, whether it changed the records or was refused. */
  handle(committed: Committed, nowMs: number): void {
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
      this.revertPlacement(committed);
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
      this.logPrimaryChange(record);
      this.processRecord(record, nowMs);
    }
  }

  /** Resets the placement of a refused assignment to what the control state records. */
  private revertPlacement(committed: Committed): void {
    const { state } = this.context;
    const { command } = committed;
    if (command.kind === CommandKind.AssignGroup) {
      this.updatePlacement(state.getGroupAssignment(command.group), getCommandKey(command));
      this.context.groupQueue.add(command.group);
    } else if (command.kind === CommandKind.AssignAccount) {
      this.updatePlacement(state.getAccountAssignment(command.account), getCommandKey(command));
      this.context.accountQueue.add(command.account);
    } else if (command.kind === CommandKind.AssignReader) {
      this.updateReader(command.group, command.instance);
    }
  }

  private updateReader(group: GroupId, instance: InstanceId): void {
    const host = this.context.state.getReader(group, instance)?.holder?.host;
    placeReader(this.context, getInstanceReaderRecordName(group, instance), host);
    this.context.groupQueue.add(group);
  }

  /**
   * Queues the groups whose replicas are read by a host that now holds a group: these readers move
   * to a spare host, if there is one.
   */
  private enqueueReadGroups({ host, lease }: Holder): void {
    const { spareHosts, state, groupQueue } = this.context;
    for (const held of spareHosts.countReaders(host) === 0 ? [] : state.getAssignments(lease)) {
      if (held.kind === RecordKind.InstanceReader) {
        groupQueue.add(held.group);
      }
    }
  }

  private processRecord(record: ControlRecord, nowMs: number): void {
    const { value, name } = record;
    switch (value.kind) {
      case RecordKind.Subject:
        this.processSubject(value, nowMs);
        break;
      case RecordKind.Instance:
        this.context.groupQueue.add(value.group);
        break;
      case RecordKind.GroupHolder: {
        const tracker = getTracker(this.context, value.group);
        tracker.unheldSinceMs = value.holder === undefined ? nowMs : undefined;
        if (value.holder !== undefined && !value.draining) {
          tracker.avoidedHost = undefined;
        }
        if (tracker.reporter !== value.holder?.lease) {
          tracker.clearReport();
        }
        this.updatePlacement(value, name);
        if (value.holder !== undefined) {
          this.enqueueReadGroups(value.holder);
        }
        this.context.groupQueue.add(value.group);
        break;
      }
      case RecordKind.AccountHolder:
        this.updatePlacement(value, name);
        this.context.accountQueue.add(value.account);
        break;
      case RecordKind.InstanceReader:
        this.updateReader(value.group, value.instance);
        break;
      case RecordKind.Primary:
        this.processPrimary(value, nowMs);
        break;
    }
  }

  private logPrimaryChange(record: ControlRecord): void {
    const { value } = record;
    if (value.kind !== RecordKind.Primary) {
      return;
    }
    const { group, instance, term } = value;
    const position = value.history.at(-1)?.position ?? 0;
    const values = { group, instance, term, position };
    this.context.outbox.log(getPrimaryDiagnostic(value), values);
  }

  private processPrimary(primary: GroupPrimary, nowMs: number): void {
    const { group } = primary;
    const tracker = getTracker(this.context, group);
    tracker.servingSinceMs = primary.phase === PrimaryPhase.Serving ? nowMs : undefined;
    tracker.movingSinceMs = primary.phase === PrimaryPhase.Moving ? nowMs : undefined;
    this.trackMove(tracker, primary, nowMs);
    if (primary.phase === PrimaryPhase.Promoting) {
      const failed = tracker.order === undefined ? undefined : tracker.orderedInstance;
      tracker.failedInstances =
        failed === undefined ? [] : [...new Set([...tracker.failedInstances, failed])];
    } else {
      tracker.order = undefined;
      tracker.failedInstances = [];
    }
    this.context.groupQueue.add(group);
  }

  /** Tracks planned moves. The same instance serving again means that the move was abandoned. */
  private trackMove(tracker: GroupTracker, primary: GroupPrimary, nowMs: number): void {
    if (primary.phase === PrimaryPhase.Moving) {
      tracker.movingInstance = primary.instance;
    } else if (primary.phase === PrimaryPhase.Serving) {
      if (tracker.movingInstance === primary.instance) {
        tracker.moveAbandonedMs = nowMs;
      }
      tracker.movingInstance = undefined;
    }
  }

  private processSubject(value: SubjectInForce, nowMs: number): void {
    const { state } = value;
    switch (state.kind) {
      case SubjectKind.Account:
        this.context.accountQueue.add(state.account);
        break;
      case SubjectKind.Group:
      case SubjectKind.BackendServer:
        this.context.groupQueue.add(state.group);
        break;
      case SubjectKind.FailureDomain:
        this.hosts.refreshAll(nowMs);
        for (const group of this.context.state.getGroups()) {
          this.context.groupQueue.add(group);
        }
        break;
      case SubjectKind.Configuration:
        this.enqueueAll();
        break;
      case SubjectKind.Route:
      case SubjectKind.ControlMembers:
        break;
    }
  }

  private enqueueAll(): void {
    const { state, accountQueue, groupQueue } = this.context;
    for (const account of state.getAccounts()) {
      accountQueue.add(account);
    }
    for (const group of state.getGroups()) {
      groupQueue.add(group);
    }
  }

  private updatePlacement(assignment: Assignment | undefined, name: string | undefined): void {
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
