import { Diagnostics } from '../../../common/diagnostics/index.js';
import type { AccountId, FailureDomain, GroupId, HostId } from '../../../common/ids/index.js';
import { PlacementEvent } from '../../../common/metrics/placementEvent.js';
import type { Assignment } from '../assignment.js';
import { CommandKind } from '../commandKind.js';
import { PrimaryPhase } from '../groupPrimary.js';
import type { LoadMove, MovableResource, WeightedPlacement } from '../placement/index.js';
import { RecordKind } from '../recordKind.js';
import { getAccountHolderRecordName, getGroupHolderRecordName } from '../recordNames.js';
import { getTracker, type LeaderContext, type LoadPlacement } from './leaderContext.js';

const MICROSECONDS_PER_MS = 1000;

interface MovableGroup extends MovableResource {
  readonly group: GroupId;
}

interface MovableAccount extends MovableResource {
  readonly account: AccountId;
}

/**
 * Moves groups and accounts for the work that they carry. The next one of a kind moves only when the
 * last one has its new holder, since until then its work counts at the old one.
 */
export class LoadRebalancer {
  private movingGroup: GroupId | undefined;
  private movingAccount: AccountId | undefined;

  constructor(
    private readonly context: LeaderContext,
    private readonly placement: LoadPlacement,
  ) {}

  /** Begins at most one move of a group; returns whether it did. */
  moveGroup(nowMs: number): boolean {
    const { state, outbox } = this.context;
    const { groups } = this.placement;
    if (this.movingGroup !== undefined && this.isGroupMoving(this.movingGroup, nowMs)) {
      return false;
    }
    this.movingGroup = undefined;
    const move = groups.findLoadMove((host) => this.getGroups(host, nowMs), nowMs);
    if (move === undefined) {
      return false;
    }
    const { group, key } = move.resource;
    const expected = state.getRecordRevision(key);
    if (!outbox.propose(key, { kind: CommandKind.DrainGroup, group, expected }, nowMs)) {
      return false;
    }
    this.movingGroup = group;
    getTracker(this.context, group).avoidedHost = move.from;
    groups.recordMove(key, nowMs);
    outbox.countPlacement(PlacementEvent.GroupMoved);
    outbox.log(Diagnostics.GroupMovedForLoad, { group, ...this.describe(groups, move) });
    return true;
  }

  /** Begins at most one move of an account. */
  moveAccount(nowMs: number): void {
    const { state, outbox } = this.context;
    const { accounts } = this.placement;
    if (this.movingAccount !== undefined && this.isAccountMoving(this.movingAccount, nowMs)) {
      return;
    }
    this.movingAccount = undefined;
    const move = accounts.findLoadMove((host) => this.getAccounts(host), nowMs);
    if (move === undefined) {
      return;
    }
    const { account, key } = move.resource;
    const expected = state.getRecordRevision(key);
    if (outbox.propose(key, { kind: CommandKind.DrainAccount, account, expected }, nowMs)) {
      this.movingAccount = account;
      accounts.recordMove(key, nowMs);
      outbox.countPlacement(PlacementEvent.AccountMoved);
      outbox.log(Diagnostics.AccountMovedForLoad, { account, ...this.describe(accounts, move) });
    }
  }

  private describe(placement: WeightedPlacement, move: LoadMove<MovableResource>) {
    const { work } = this.placement;
    const { from, to, resource } = move;
    return {
      ...{ from, to },
      work: toMs(placement.getWork(resource.key)),
      fromWork: toMs(work.getWork(from)),
      toWork: toMs(work.getWork(to)),
    };
  }

  /** Returns the groups of a host that may move; none while one of them is being released. */
  private getGroups(host: HostId, nowMs: number): readonly MovableGroup[] {
    const held = this.getHeld(host).filter((each) => each.kind === RecordKind.GroupHolder);
    const staysInDomain = this.context.settings.followsInstances === true;
    return held.some(({ draining }) => draining)
      ? []
      : held.flatMap(({ group }) => {
          const key = getGroupHolderRecordName(group);
          const near = this.findNear(group);
          const isNear = near !== undefined && near === this.getDomain(host);
          const isPending = this.context.outbox.isPending(key, nowMs);
          const domain = near === undefined ? {} : { near };
          const resource = { group, key, ...domain, staysInDomain: staysInDomain && isNear };
          return this.isServing(group) && !isPending ? resource : [];
        });
  }

  private getAccounts(host: HostId): readonly MovableAccount[] {
    const held = this.getHeld(host).filter((each) => each.kind === RecordKind.AccountHolder);
    return held.some(({ draining }) => draining)
      ? []
      : held.map(({ account }) => ({ account, key: getAccountHolderRecordName(account) }));
  }

  private getHeld(host: HostId): readonly Assignment[] {
    const lease = this.context.leases.getByHost(host);
    return lease === undefined ? [] : this.context.state.getAssignments(lease.lease);
  }

  private getDomain(host: HostId): FailureDomain | undefined {
    return this.context.leases.getByHost(host)?.domain;
  }

  /** Whether a group has a primary that serves: a promotion or planned move is not disturbed. */
  private isServing(group: GroupId): boolean {
    return this.context.state.getPrimary(group)?.phase === PrimaryPhase.Serving;
  }

  private findNear(group: GroupId): FailureDomain | undefined {
    const { state } = this.context;
    const primary = state.getPrimary(group);
    return primary && state.getInstance(group, primary.instance)?.domain;
  }

  private isGroupMoving(group: GroupId, nowMs: number): boolean {
    const { state, outbox } = this.context;
    const assignment = state.getGroupAssignment(group);
    const isUnheld = assignment?.holder === undefined || assignment.draining;
    const isKnown = state.getGroups().includes(group);
    return outbox.isPending(getGroupHolderRecordName(group), nowMs) || (isKnown && isUnheld);
  }

  private isAccountMoving(account: AccountId, nowMs: number): boolean {
    const { state, outbox } = this.context;
    const assignment = state.getAccountAssignment(account);
    const isUnheld = assignment?.holder === undefined || assignment.draining;
    const isKnown = state.getAccount(account) !== undefined;
    return outbox.isPending(getAccountHolderRecordName(account), nowMs) || (isKnown && isUnheld);
  }
}

/** Rounds microseconds per second to milliseconds per second with one decimal. */
function toMs(work: number): number {
  return Math.round((10 * work) / MICROSECONDS_PER_MS) / 10;
}
