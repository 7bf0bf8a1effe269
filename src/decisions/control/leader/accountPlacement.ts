import { Diagnostics } from '../../../common/diagnostics/index.js';
import type { AccountId } from '../../../common/ids/index.js';
import { CommandKind } from '../commandKind.js';
import { getAccountHolderRecordName } from '../recordNames.js';
import { isSettled, type LeaderContext } from './leaderContext.js';

/** Decides on the holder of one client account at a time. */
export class AccountPlacement {
  constructor(private readonly context: LeaderContext) {}

  /**
   * Proposes the next change of an account's holder; true if the account must be processed again.
   */
  decide(account: AccountId, nowMs: number): boolean {
    const { state, outbox } = this.context;
    const name = getAccountHolderRecordName(account);
    if (outbox.isPending(name, nowMs)) {
      return true;
    }
    const assignment = state.getAccountAssignment(account);
    if (assignment?.holder === undefined) {
      this.assign(account, name, nowMs);
      return true;
    }
    const lease = this.context.leases.get(assignment.holder.lease);
    const mustRelease =
      lease?.isLive === true && (lease.stopping || !state.isInService(lease.domain));
    if (!mustRelease || assignment.draining) {
      return false;
    }
    this.drain(account, name, nowMs);
    return true;
  }

  private assign(account: AccountId, name: string, nowMs: number): void {
    const { state, outbox, accountPlacement, leases } = this.context;
    if (!isSettled(this.context, nowMs)) {
      return;
    }
    const host = accountPlacement.choose({ key: account }, nowMs);
    const lease = host === undefined ? undefined : leases.getByHost(host);
    if (host === undefined || lease === undefined) {
      return;
    }
    const holder = { host, lease: lease.lease, address: lease.address };
    const expected = state.getRecordRevision(name);
    const command = { kind: CommandKind.AssignAccount, account, holder, expected } as const;
    if (outbox.propose(name, command, nowMs)) {
      accountPlacement.place(name, host);
      outbox.log(Diagnostics.AccountAssigned, { account, host });
    }
  }

  private drain(account: AccountId, name: string, nowMs: number): void {
    const { state, outbox, accountPlacement } = this.context;
    if (accountPlacement.hostCount > 0) {
      const expected = state.getRecordRevision(name);
      outbox.propose(name, { kind: CommandKind.DrainAccount, account, expected }, nowMs);
    }
  }
}
