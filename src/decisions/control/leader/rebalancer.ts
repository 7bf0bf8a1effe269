import { Diagnostics } from '../../../common/diagnostics/index.js';
import { CommandKind } from '../commandKind.js';
import { RecordKind } from '../recordKind.js';
import { getAccountHolderRecordName, getGroupHolderRecordName } from '../recordNames.js';
import { HolderLocality } from './holderLocality.js';
import { LoadRebalancer } from './loadRebalancer.js';
import type { LeaderContext } from './leaderContext.js';

/** Moves groups and accounts, a few at a time, from loaded hosts to idle ones. */
export class Rebalancer {
  private lastMs = 0;
  private readonly locality: HolderLocality;
  private readonly loads: LoadRebalancer | undefined;

  constructor(private readonly context: LeaderContext) {
    const { loadPlacement } = context;
    this.locality = new HolderLocality(context);
    this.loads = loadPlacement && new LoadRebalancer(context, loadPlacement);
  }

  /** Begins at most one move of a group and one of an account. */
  run(nowMs: number): void {
    const { settings, leases } = this.context;
    if (nowMs - this.lastMs < settings.rebalanceIntervalMs || leases.isWaiting(nowMs)) {
      return;
    }
    this.lastMs = nowMs;
    this.context.loadPlacement?.work.refresh(nowMs);
    if (!this.moveGroup(nowMs) && settings.followsInstances === true) {
      this.locality.run(nowMs);
    }
    this.moveAccount(nowMs);
  }

  /** Restarts the rebalance interval from now. */
  reset(nowMs: number): void {
    this.lastMs = nowMs;
  }

  /** Moves a group off a loaded host; returns false while the load is balanced. */
  private moveGroup(nowMs: number): boolean {
    const { groupPlacement, leases, state, outbox, loadPlacement } = this.context;
    if (this.loads !== undefined && loadPlacement?.groups.isWeighted === true) {
      return this.loads.moveGroup(nowMs);
    }
    const move = groupPlacement.findMove(nowMs);
    const lease = move && leases.getByHost(move.from);
    if (lease === undefined) {
      return false;
    }
    const held = state
      .getAssignments(lease.lease)
      .filter((each) => each.kind === RecordKind.GroupHolder)
      .filter((each) => !each.draining);
    const remote = held.find((each) => {
      const primary = state.getPrimary(each.group);
      const record = primary && state.getInstance(each.group, primary.instance);
      return record !== undefined && record.domain !== lease.domain;
    });
    const chosen = remote ?? held[0];
    if (chosen === undefined) {
      return false;
    }
    const { group } = chosen;
    const name = getGroupHolderRecordName(group);
    const expected = state.getRecordRevision(name);
    if (outbox.propose(name, { kind: CommandKind.DrainGroup, group, expected }, nowMs)) {
      outbox.log(Diagnostics.GroupDraining, { group, host: lease.host });
    }
    return true;
  }

  private moveAccount(nowMs: number): void {
    const { accountPlacement, leases, state, outbox, loadPlacement } = this.context;
    if (this.loads !== undefined && loadPlacement?.accounts.isWeighted === true) {
      this.loads.moveAccount(nowMs);
      return;
    }
    const move = accountPlacement.findMove(nowMs);
    const lease = move && leases.getByHost(move.from);
    const held = lease === undefined ? [] : state.getAssignments(lease.lease);
    const chosen = held
      .filter((each) => each.kind === RecordKind.AccountHolder)
      .find((each) => !each.draining);
    if (chosen === undefined) {
      return;
    }
    const { account } = chosen;
    const name = getAccountHolderRecordName(account);
    const expected = state.getRecordRevision(name);
    outbox.propose(name, { kind: CommandKind.DrainAccount, account, expected }, nowMs);
  }
}
