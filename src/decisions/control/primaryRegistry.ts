import { toLogPosition, toRevision, type GroupId, type Revision } from '../../common/ids/index.js';
import type { AssignmentRegistry } from './assignmentRegistry.js';
import { CommandKind } from './commandKind.js';
import {
  getServedTimeline,
  PrimaryPhase,
  type GroupPrimary,
  type PromotionBase,
  type UnsettledOrder,
} from './groupPrimary.js';
import type {
  BeginMove,
  BeginPromotion,
  CompletePromotion,
  PrimaryCommand,
  RecordPrimary,
  SettleOrders,
} from './primaryCommand.js';
import { RecordKind } from './recordKind.js';
import { getGroupHolderRecordName, getPrimaryRecordName } from './recordNames.js';
import type { RecordTable } from './recordTable.js';

const MAXIMUM_TERM_ENDS = 32;

/** Registry of the groups' primaries, stored in the replicated records. */
export class PrimaryRegistry {
  constructor(
    private readonly records: RecordTable,
    private readonly assignments: AssignmentRegistry,
  ) {}

  /** Applies a command; returns false when it was refused. */
  apply(command: PrimaryCommand, revision: Revision): boolean {
    const next = this.decide(command, revision);
    if (next === undefined) {
      return false;
    }
    this.records.set(next, revision);
    return true;
  }

  private decide(command: PrimaryCommand, revision: Revision): GroupPrimary | undefined {
    const present = this.find(command.group);
    switch (command.kind) {
      case CommandKind.RecordPrimary:
        return present === undefined ? recordPrimary(command, revision) : undefined;
      case CommandKind.BeginMove:
        return beginMove(command, present);
      case CommandKind.BeginPromotion:
        return this.beginPromotion(command, present);
      case CommandKind.CompletePromotion:
        return completePromotion(command, present, revision);
      case CommandKind.SettleOrders:
        return settleOrders(command, present);
    }
  }

  private beginPromotion(
    command: BeginPromotion,
    present: GroupPrimary | undefined,
  ): GroupPrimary | undefined {
    const lease = this.assignments.getLease(getGroupHolderRecordName(command.group));
    const term = present?.term ?? 0;
    if (term !== command.expectedTerm || command.term <= term || lease !== command.expectedLease) {
      return undefined;
    }
    return {
      kind: RecordKind.Primary,
      group: command.group,
      term: command.term,
      instance: command.instance,
      phase: PrimaryPhase.Promoting,
      since: toRevision(0),
      ...(command.leader === undefined ? {} : { decidedBy: command.leader }),
      ...createUnsettled([...getUnsettled(present, command.settles), ...createOrders(command)]),
      base: createBase(command, present),
      history: present?.history ?? [],
    };
  }

  private find(group: GroupId): GroupPrimary | undefined {
    return this.records.get(getPrimaryRecordName(group))?.value as GroupPrimary | undefined;
  }
}

function createBase(command: BeginPromotion, present: GroupPrimary | undefined): PromotionBase {
  if (present === undefined) {
    return { term: command.expectedTerm, required: command.required };
  }
  if (present.base !== undefined) {
    return present.base;
  }
  const { term, timeline, instance } = present;
  const { required } = command;
  return { term, instance, required, ...(timeline === undefined ? {} : { timeline }) };
}

function recordPrimary(command: RecordPrimary, revision: Revision): GroupPrimary {
  return {
    kind: RecordKind.Primary,
    group: command.group,
    term: command.term,
    ...(command.timeline === undefined ? {} : { timeline: command.timeline }),
    instance: command.instance,
    phase: PrimaryPhase.Serving,
    since: revision,
    history: [],
  };
}

function beginMove(
  command: BeginMove,
  present: GroupPrimary | undefined,
): GroupPrimary | undefined {
  if (present?.term !== command.term || present.phase !== PrimaryPhase.Serving) {
    return undefined;
  }
  return { ...present, phase: PrimaryPhase.Moving };
}

function completePromotion(
  command: CompletePromotion,
  present: GroupPrimary | undefined,
  revision: Revision,
): GroupPrimary | undefined {
  if (present?.term !== command.term || present.phase !== PrimaryPhase.Promoting) {
    return undefined;
  }
  const required = present.base?.required ?? toLogPosition(0);
  if (command.position < required) {
    return undefined;
  }
  const { kind, group, term, instance } = present;
  const { timeline } = command;
  const termEnd = { term: getServedTimeline(present) ?? term, position: command.position };
  const history = [...present.history, termEnd].slice(-MAXIMUM_TERM_ENDS);
  const served = {
    kind,
    group,
    term,
    instance,
    phase: PrimaryPhase.Serving,
    since: revision,
    ...createUnsettled(getUnsettled(present, command.settles)),
    history,
  };
  return timeline === undefined ? served : { ...served, timeline };
}

function settleOrders(
  { settles }: SettleOrders,
  present: GroupPrimary | undefined,
): GroupPrimary | undefined {
  if (present === undefined) {
    return undefined;
  }
  const { unsettled = [], ...rest } = present;
  const isChanged = unsettled.some(({ term }) => settles.includes(term));
  return isChanged ? { ...rest, ...createUnsettled(getUnsettled(present, settles)) } : undefined;
}

function createOrders({ term, instance, mayRunLate }: BeginPromotion): UnsettledOrder[] {
  return mayRunLate === true ? [{ term, instance }] : [];
}

/** The recorded orders of a group that are not among the settled terms. */
function getUnsettled(
  present: GroupPrimary | undefined,
  settles: BeginPromotion['settles'] = [],
): readonly UnsettledOrder[] {
  return (present?.unsettled ?? []).filter(({ term }) => !settles.includes(term));
}

function createUnsettled(orders: readonly UnsettledOrder[]): Pick<GroupPrimary, 'unsettled'> {
  return orders.length === 0 ? {} : { unsettled: orders };
}
