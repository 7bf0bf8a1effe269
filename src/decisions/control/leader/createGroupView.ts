import { toRevision, type GroupId, type Revision } from '../../../common/ids/index.js';
import type { AnnouncedPlace, GroupView, HolderView, InstanceView } from '../../promotion/index.js';
import { getServedTerm } from '../../promotion/index.js';
import type { GroupAssignment } from '../groupAssignment.js';
import type { GroupPrimary } from '../groupPrimary.js';
import type { InstanceRecord } from '../instanceRecord.js';
import type { GroupWatch, ReceivedAnnouncement } from './groupWatch.js';
import { getWatch, type LeaderContext } from './leaderContext.js';

/** Gathers all that the choice of a group's primary depends on. */
export function createGroupView(context: LeaderContext, group: GroupId, nowMs: number): GroupView {
  const { state, sinceMs } = context;
  const watch = getWatch(context, group);
  const primary = state.getPrimary(group);
  const assignment = state.getGroupAssignment(group);
  const holder = assignment && createHolderView(watch, assignment, primary);
  return {
    group,
    nowMs,
    leader: context.host,
    leaderSinceMs: sinceMs,
    acknowledgement: state.getAcknowledgement(group),
    instances: state.getInstances(group).map((each) => createInstanceView(context, watch, each)),
    failedInstances: watch.failedInstances,
    unheldSinceMs: watch.unheldSinceMs,
    firstSeenMs: watch.firstSeenMs,
    servingSinceMs: watch.servingSinceMs,
    movingSinceMs: watch.movingSinceMs,
    moveEndedMs: watch.moveEndedMs,
    order: watch.order,
    primary,
    holder,
  };
}

function createHolderView(
  watch: GroupWatch,
  assignment: GroupAssignment,
  primary: GroupPrimary | undefined,
): HolderView | undefined {
  const { holder, since } = assignment;
  if (holder === undefined) {
    return undefined;
  }
  const isReporter = watch.reporter === holder.lease;
  const served = primary && getServedTerm(primary);
  const isFenced = isReporter && served !== undefined && watch.fencedTerm >= served;
  return {
    lease: holder.lease,
    sinceTermBegan: primary !== undefined && since < primary.since && isReporter,
    fencedTerm: watch.fencedTerm,
    fencedAtMs: isFenced ? watch.fencedAtMs : undefined,
    acknowledged: watch.acknowledged,
    confirmed: watch.confirmed,
  };
}

function createInstanceView(
  context: LeaderContext,
  watch: GroupWatch,
  record: InstanceRecord,
): InstanceView {
  const received = watch.announcements.get(record.instance);
  return {
    instance: record.instance,
    domain: record.domain,
    inService: context.state.isInService(record.domain),
    leaving: context.state.isLeaving(record.group, record.instance),
    leavingRevision: context.state.getLeavingRevision(record.group, record.instance),
    restartedRevision: getRestartedRevision(context, record, received),
    announced: received && createAnnouncedPlace(received),
    sighted: watch.sightings.get(record.instance),
  };
}

/** A restart counts from when it is announced: its record is committed only after that. */
function getRestartedRevision(
  { state }: LeaderContext,
  { startedMs, restarted }: InstanceRecord,
  received: ReceivedAnnouncement | undefined,
): Revision {
  const isNews =
    received !== undefined &&
    startedMs !== undefined &&
    received.announcement.startedMs !== startedMs;
  return isNews ? toRevision(state.revision + 1) : (restarted ?? toRevision(0));
}

function createAnnouncedPlace(received: ReceivedAnnouncement): AnnouncedPlace {
  const { term, position, role, leaving } = received.announcement;
  const { receivedAtMs, measuredFromMs } = received;
  return { term, position, role, leaving, receivedAtMs, measuredFromMs };
}
