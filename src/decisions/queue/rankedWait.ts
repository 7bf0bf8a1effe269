import { PRIORITY_RANKS } from '../../common/priority.js';
import type { ActiveAccounts } from './activeAccounts.js';
import type { RankedAccount } from './rankedAccount.js';

/**
 * Work by which an account's urgent requests may run ahead of the account that was served least. It
 * bounds both the precedence of urgent requests and the time for which other accounts fall behind.
 */
export const SLACK_MS = 120;

/** A request whose wait is estimated. */
export interface RankedClaim {
  readonly account: RankedAccount | undefined;
  readonly weight: number;
  readonly rank: number;
  /** Cost of the account's own requests that go before it. */
  readonly ownMs: number;
  /** How much of it is served only along with the work of other accounts. */
  readonly sharedMs: number;
}

/**
 * Returns the time, in milliseconds, until the work before a request has been served: its account's
 * own, others' more urgent work within their slack, and others' work of the same rank as far as they
 * reach the same virtual time. Less urgent work counts only where the account is beyond its slack.
 */
export function getRankedWaitMs(
  active: ActiveAccounts,
  { account, weight, rank, ownMs, sharedMs }: RankedClaim,
  virtualTime: number,
  slots: number,
): number {
  const { accounts, weights } = active;
  const backlogs = active.getBacklogs(rank);
  const urgentBacklogs = active.getBacklogs(rank - 1);
  const allBacklogs = active.getBacklogs(PRIORITY_RANKS - 1);
  const beyondMs = Math.max(0, sharedMs - SLACK_MS);
  const ownPlace = account?.place;
  let aheadMs = ownMs;
  for (let place = 0; place < accounts.length; place += 1) {
    if (place === ownPlace) {
      continue;
    }
    const otherWeight = weights[place] ?? 0;
    const reachMs = (sharedMs * otherWeight) / weight;
    let otherMs = Math.min(backlogs[place] ?? 0, reachMs);
    const urgentMs = urgentBacklogs[place] ?? 0;
    if (urgentMs > otherMs) {
      const leadMs = getLeadMs(accounts[place], virtualTime);
      otherMs = Math.max(otherMs, Math.min(urgentMs, SLACK_MS - Math.max(0, leadMs)));
    }
    if (beyondMs > 0) {
      const lessUrgentMs = (beyondMs * otherWeight) / weight;
      otherMs = Math.max(otherMs, Math.min(allBacklogs[place] ?? 0, lessUrgentMs));
    }
    aheadMs += otherMs;
  }
  return aheadMs / Math.max(1, slots);
}

/** Returns by how much work an account is ahead of virtual time. */
function getLeadMs(account: RankedAccount | undefined, virtualTime: number): number {
  return account === undefined ? 0 : (account.getNextTag() - virtualTime) * account.weight;
}
