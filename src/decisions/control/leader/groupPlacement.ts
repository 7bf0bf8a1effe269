import { Diagnostics } from '../../../common/diagnostics/index.js';
import type { FailureDomain } from '../../../common/ids/index.js';
import type { GroupView } from '../../promotion/index.js';
import { CommandKind } from '../commandKind.js';
import { PrimaryPhase } from '../groupPrimary.js';
import type { Holder } from '../holder.js';
import { getGroupHolderRecordName } from '../recordNames.js';
import { isSettled, type LeaderContext } from './leaderContext.js';

/** Decides on the holder of one group at a time. */
export class GroupPlacement {
  constructor(protected readonly context: LeaderContext) {}

  /** Looks at a group's holder; true when it has to be looked at again without a change. */
  look(view: GroupView): boolean {
    const { state, outbox } = this.context;
    const name = getGroupHolderRecordName(view.group);
    if (outbox.isUnderWay(name, view.nowMs)) {
      return true;
    }
    const assignment = state.getGroupAssignment(view.group);
    if (assignment?.holder === undefined || !this.isHeld(assignment.holder)) {
      this.assign(view, name);
      return true;
    }
    return this.mustLeave(assignment.holder) && !assignment.draining
      ? this.drain(view, name, assignment.holder)
      : false;
  }

  /** Whether a recorded holder still holds: until its release or retirement is in the log. */
  protected isHeld(holder: Holder): boolean {
    return !this.context.state.isRetired(holder.lease);
  }

  private assign(view: GroupView, name: string): void {
    const { state, outbox, groupPlacement, leases } = this.context;
    const { group, nowMs } = view;
    if (!isSettled(this.context, nowMs)) {
      return;
    }
    const near = this.findNear(view);
    const request = near === undefined ? { key: group } : { key: group, near };
    const host = groupPlacement.choose(request, nowMs);
    const lease = host === undefined ? undefined : leases.getByHost(host);
    if (host === undefined || lease === undefined) {
      return;
    }
    const holder = { host, lease: lease.lease, address: lease.address };
    const expected = state.getRecordRevision(name);
    const command = { kind: CommandKind.AssignGroup, group, holder, expected } as const;
    if (outbox.propose(name, command, nowMs)) {
      groupPlacement.place(name, host);
      outbox.log(Diagnostics.GroupAssigned, { group, host });
    }
  }

  /** Drains a holder that has to leave, once the primary is in service and another host can hold. */
  private drain(view: GroupView, name: string, holder: Holder): boolean {
    const { state, outbox, groupPlacement } = this.context;
    const { group, nowMs, primary } = view;
    const isBusy = primary !== undefined && primary.phase !== PrimaryPhase.Serving;
    if (isBusy || groupPlacement.hostCount === 0) {
      return true;
    }
    const expected = state.getRecordRevision(name);
    if (outbox.propose(name, { kind: CommandKind.DrainGroup, group, expected }, nowMs)) {
      outbox.log(Diagnostics.GroupDraining, { group, host: holder.host });
    }
    return true;
  }

  private mustLeave(holder: Holder): boolean {
    const { leases, state } = this.context;
    const lease = leases.get(holder.lease);
    if (lease?.isLive !== true) {
      return false;
    }
    return lease.stopping || !state.isInService(lease.domain);
  }

  private findNear(view: GroupView): FailureDomain | undefined {
    const instance = view.primary?.instance;
    const record = view.instances.find((each) => each.instance === instance);
    const [first] = view.instances;
    return (record ?? first)?.domain;
  }
}
