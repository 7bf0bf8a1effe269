import { toRevision, type GroupId, type Revision } from '../../../common/ids/index.js';
import type {
  AnnouncedPoint,
  DepartedView,
  GroupView,
  HolderView,
  InstanceView,
} from '../../promotion/index.js';
import { getServedTerm } from '../../promotion/index.js';
import type { ControlState } from '../controlState.js';
import type { GroupAssignment } from '../groupAssignment.js';
import type { GroupPrimary } from '../groupPrimary.js';
import type { InstanceRecord } from '../instanceRecord.js';
import { getInstanceRecordName, getPrimaryRecordName } from '../recordNames.js';
import type { GroupTracker, ReceivedAnnouncement } from './groupTracker.js';
import { getTracker, type LeaderContext } from './leaderContext.js';

/** Collects the inputs of the decision on a group's primary. */
export function createGroupView(context: LeaderContext, group: GroupId, nowMs: number): GroupView {
  const { state, sinceMs } = context;
  const tracker = getTracker(context, group);
  const primary = state.getPrimary(group);
  const assignment = state.getGroupAssignment(group);
  const holder = assignment && createHolderView(tracker, assignment, primary);
  return {
    group,
    nowMs,
    leader: context.host,
    leaderSinceMs: sinceMs,
    acknowledgement: state.getAcknowledgement(group),
    instances: state.getInstances(group).map((each) => createInstanceView(context, tracker, each)),
    departed: createDepartedViews(state, group),
    failedInstances: tracker.failedInstances,
    unheldSinceMs: tracker.unheldSinceMs,
    firstSeenMs: tracker.firstSeenMs,
    servingSinceMs: tracker.servingSinceMs,
    movingSinceMs: tracker.movingSinceMs,
    isolatedSinceMs: tracker.isolatedSinceMs,
    moveAbandonedMs: tracker.moveAbandonedMs,
    order: tracker.order,
    primary,
    primaryRevision: state.getRecordRevision(getPrimaryRecordName(group)),
    holder,
  };
}

function createHolderView(
  tracker: GroupTracker,
  assignment: GroupAssignment,
  primary: GroupPrimary | undefined,
): HolderView | undefined {
  const { holder, since } = assignment;
  if (holder === undefined) {
    return undefined;
  }
  const isReporter = tracker.reporter === holder.lease;
  const served = primary && getServedTerm(primary);
  const isFenced = isReporter && served !== undefined && tracker.fencedTerm >= served;
  return {
    lease: holder.lease,
    hasHeldFullTerm: primary !== undefined && since < primary.since && isReporter,
    fencedTerm: tracker.fencedTerm,
    fencedAtMs: isFenced ? tracker.fencedAtMs : undefined,
    acknowledged: tracker.acknowledged,
    confirmed: tracker.confirmed,
  };
}

function createInstanceView(
  context: LeaderContext,
  tracker: GroupTracker,
  record: InstanceRecord,
): InstanceView {
  const received = tracker.announcements.get(record.instance);
  return {
    instance: record.instance,
    domain: record.domain,
    inService: context.state.isInService(record.domain),
    leaving: context.state.isLeaving(record.group, record.instance),
    leavingRevision: getLeavingRevision(context.state, record),
    restartedRevision: getRestartedRevision(context, record, received),
    announced: received && createAnnouncedPoint(received),
    observed: tracker.sightings.get(record.instance),
  };
}

function createDepartedViews(state: ControlState, group: GroupId): readonly DepartedView[] {
  return state.getDepartedInstances(group).map(({ instance }) => ({
    instance,
    revision: state.getRecordRevision(getInstanceRecordName(group, instance)),
  }));
}

/**
 * Revision since which an instance is recorded as leaving, by a ticket or else by the last change of
 * its own record.
 */
function getLeavingRevision(state: ControlState, record: InstanceRecord): Revision {
  const { group, instance, leaving } = record;
  if (state.isLeavingByTicket(group, instance)) {
    return state.getLeavingRevision(group, instance);
  }
  return leaving === true
    ? state.getRecordRevision(getInstanceRecordName(group, instance))
    : toRevision(0);
}

/**
 * Revision of an instance's last restart. An announced restart that is not recorded yet counts as
 * the next revision, since its record is committed only later.
 */
function getRestartedRevision(
  { state }: LeaderContext,
  { startedMs, restarted }: InstanceRecord,
  received: ReceivedAnnouncement | undefined,
): Revision {
  const isUnrecorded =
    received !== undefined &&
    startedMs !== undefined &&
    received.announcement.startedMs !== startedMs;
  return isUnrecorded ? toRevision(state.revision + 1) : (restarted ?? toRevision(0));
}

function createAnnouncedPoint(received: ReceivedAnnouncement): AnnouncedPoint {
  const { term, position, role, leaving } = received.announcement;
  const { receivedAtMs, earliestReceiptMs } = received;
  return { term, position, role, leaving, receivedAtMs, earliestReceiptMs };
}
