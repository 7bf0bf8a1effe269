import type { HostId } from '../../../common/ids/index.js';
import { PlacementEvent } from '../../../common/metrics/placementEvent.js';
import type { LeaseRenewal } from '../leaseRenewal.js';
import { ResourceKind, type FleetWork } from '../placement/index.js';
import {
  getAccountHolderRecordName,
  getGroupHolderRecordName,
  getInstanceReaderRecordName,
} from '../recordNames.js';
import type { WorkReport } from '../workReport.js';
import { isFromHolder } from './isFromHolder.js';
import type { LeaderContext } from './leaderContext.js';

/** Age above which a report is ignored: hosts report every 2 s. */
const MAXIMUM_AGE_MS = 5000;
/** Most work of a resource, in µs per second: ten cores, while a daemon decides in one thread. */
const MAXIMUM_WORK = 10_000_000;
const MAXIMUM_CORES = 1024;

/** Work of one resource in a report. */
interface ReportedWork {
  readonly kind: ResourceKind;
  readonly key: string;
  readonly work: number;
  /** Whether the sender holds the resource under the lease that it renews. */
  readonly isHeld: boolean;
}

/** Records the work that hosts report, where resources are placed by load. */
export class WorkReports {
  constructor(private readonly context: LeaderContext) {}

  /** Processes the work report of a renewal; the earliest time of its sending may be unknown. */
  receive(renewal: LeaseRenewal, sentFromMs: number | undefined, nowMs: number): void {
    const { loadPlacement, outbox } = this.context;
    const { work: report, host } = renewal;
    if (loadPlacement === undefined || report === undefined) {
      return;
    }
    if (sentFromMs !== undefined && nowMs - sentFromMs > MAXIMUM_AGE_MS) {
      outbox.countPlacement(PlacementEvent.IgnoredStale);
      return;
    }
    const { work } = loadPlacement;
    this.recordHost(work, host, report, nowMs);
    const counts = new Map<PlacementEvent, number>();
    for (const each of this.getReported(renewal, report)) {
      const event = getEvent(each);
      counts.set(event, (counts.get(event) ?? 0) + 1);
      if (event === PlacementEvent.Recorded) {
        work.record(each.kind, each.key, each.work, nowMs);
      }
    }
    counts.forEach((count, event) => outbox.countPlacement(event, count));
  }

  private recordHost(
    work: FleetWork,
    host: HostId,
    { processorShare, cores }: WorkReport,
    nowMs: number,
  ): void {
    const hasCores = cores === undefined || (cores > 0 && cores <= MAXIMUM_CORES);
    const hasShare = processorShare === undefined || (processorShare >= 0 && processorShare <= 1);
    if (hasCores && hasShare) {
      work.recordHost(host, processorShare, cores, nowMs);
    } else {
      this.context.outbox.countPlacement(PlacementEvent.IgnoredOutOfRange);
    }
  }

  private getReported(renewal: LeaseRenewal, report: WorkReport): ReportedWork[] {
    const { state } = this.context;
    return [
      ...report.groups.map(([group, work]) => ({
        kind: ResourceKind.Group,
        key: getGroupHolderRecordName(group),
        work,
        isHeld: isFromHolder(renewal, state.getGroupAssignment(group)),
      })),
      ...report.readers.map(([group, instance, work]) => ({
        kind: ResourceKind.Reader,
        key: getInstanceReaderRecordName(group, instance),
        work,
        isHeld: isFromHolder(renewal, state.getReader(group, instance)),
      })),
      ...report.accounts.map(([account, work]) => ({
        kind: ResourceKind.Account,
        key: getAccountHolderRecordName(account),
        work,
        isHeld: isFromHolder(renewal, state.getAccountAssignment(account)),
      })),
    ];
  }
}

/** Returns what becomes of a figure; comparisons with a value that is no number are false. */
function getEvent({ work, isHeld }: ReportedWork): PlacementEvent {
  if (!(work >= 0 && work <= MAXIMUM_WORK)) {
    return PlacementEvent.IgnoredOutOfRange;
  }
  return isHeld ? PlacementEvent.Recorded : PlacementEvent.IgnoredForeign;
}
