import { Diagnostics } from '../../common/diagnostics/index.js';
import type { GroupId } from '../../common/ids/index.js';
import { GRANT_EXPIRY_MS } from '../limits/limitTiming.js';
import { MINIMUM_STALENESS_MS } from '../routing/readerSelector.js';
import { Consistency, getSubjectName, type GroupState, type RouteState } from '../tickets/index.js';
import type { AccountEntry } from './accountEntry.js';
import { getAccountSubject, type CheckedConfiguration } from './checkedConfiguration.js';
import { AccountRule, ConfigurationRule, GroupRule, RouteRule } from './configurationRule.js';
import { createFinding, NOTHING_FOUND, type Finding } from './finding.js';

const MS_PER_SECOND = 1000;

/** Statement timeouts that the group's limit on transactions ends earlier. */
export class TimeoutsAboveTransactions extends RouteRule {
  protected override checkRoute(
    route: RouteState,
    { groups }: CheckedConfiguration,
  ): readonly Finding[] {
    const { group, statementTimeoutMs: timeout } = route;
    const limit = groups.get(group)?.transactionLimitMs;
    return timeout === undefined || limit === undefined || timeout <= limit
      ? NOTHING_FOUND
      : [
          createFinding(Diagnostics.TimeoutAboveTransaction, getSubjectName(route), {
            timeout,
            limit,
            group,
          }),
        ];
  }
}

/** Target latencies that the route's statement timeout never lets a statement reach. */
export class TargetsAboveTimeouts extends RouteRule {
  protected override checkRoute(route: RouteState): readonly Finding[] {
    const { targetLatencyMs: target, statementTimeoutMs: timeout } = route;
    return target === undefined || timeout === undefined || target <= timeout
      ? NOTHING_FOUND
      : [createFinding(Diagnostics.TargetAboveTimeout, getSubjectName(route), { target, timeout })];
  }
}

/** Idle limits of transactions that the group's limit on transactions ends earlier. */
export class IdleLimitsAboveTransactions extends RouteRule {
  protected override checkRoute(
    route: RouteState,
    { groups }: CheckedConfiguration,
  ): readonly Finding[] {
    const { group, transactionIdleMs: idle } = route;
    const limit = groups.get(group)?.transactionLimitMs;
    return idle === undefined || limit === undefined || idle <= limit
      ? NOTHING_FOUND
      : [
          createFinding(Diagnostics.IdleAboveTransaction, getSubjectName(route), {
            idle,
            limit,
            group,
          }),
        ];
  }
}

/** Staleness bounds with which no replica serves the reads. Reads of the latest state ignore them. */
export class StalenessBelowMinimum extends RouteRule {
  protected override checkRoute(route: RouteState): readonly Finding[] {
    const { maximumStalenessMs: staleness, consistency } = route;
    const isIgnored = staleness === undefined || consistency === Consistency.Latest;
    return isIgnored || staleness >= MINIMUM_STALENESS_MS
      ? NOTHING_FOUND
      : [
          createFinding(Diagnostics.StalenessBelowMinimum, getSubjectName(route), {
            staleness,
            minimum: MINIMUM_STALENESS_MS,
          }),
        ];
  }
}

/** Limits on open transactions that the connections of a group that the account uses do not allow. */
export class TransactionsAboveConnections extends ConfigurationRule {
  override check(configuration: CheckedConfiguration): readonly Finding[] {
    const findings: Finding[] = [];
    const { accounts, groups } = configuration;
    const access = configuration.getAccess();
    // The limit of the groups that all accounts use is computed once, since there may be many.
    const forAll = findLowestLimit(access.getGroupsForAll(), groups);
    for (const { account, maximumOpenTransactions: transactions } of accounts.values()) {
      const own = findLowestLimit(access.getOwnGroups(account), groups);
      const lowest =
        own === undefined || (forAll !== undefined && forAll.limit <= own.limit) ? forAll : own;
      if (lowest !== undefined && transactions > lowest.limit) {
        const values = { transactions, ...lowest };
        const subject = getAccountSubject(account);
        findings.push(createFinding(Diagnostics.TransactionsAboveConnections, subject, values));
      }
    }
    return findings;
  }
}

interface GroupLimit {
  readonly group: GroupId;
  readonly limit: number;
}

function findLowestLimit(
  ids: Iterable<GroupId>,
  groups: ReadonlyMap<GroupId, GroupState>,
): GroupLimit | undefined {
  let lowest: GroupLimit | undefined;
  for (const group of ids) {
    const limit = groups.get(group)?.connectionLimit;
    if (limit !== undefined && (lowest === undefined || limit < lowest.limit)) {
      lowest = { group, limit };
    }
  }
  return lowest;
}

/**
 * Bursts that do not cover the tokens that are granted and not settled at the full rate. These count
 * against the burst until they expire at the latest, and nothing refills meanwhile.
 */
export class BurstsBelowGrants extends AccountRule {
  protected override checkAccount({ account, rate, burst }: AccountEntry): readonly Finding[] {
    const minimum = Math.ceil((rate * GRANT_EXPIRY_MS) / MS_PER_SECOND);
    return burst >= minimum
      ? NOTHING_FOUND
      : [
          createFinding(Diagnostics.BurstBelowGrants, getAccountSubject(account), {
            rate,
            burst,
            minimum,
          }),
        ];
  }
}

/** Warm-up rates without a warm-up time, and the reverse. */
export class IncompleteWarmups extends GroupRule {
  protected override checkGroup(state: GroupState): readonly Finding[] {
    const { warmupPerSecond: rate = 0, warmupMs: time = 0 } = state;
    const subject = getSubjectName(state);
    if (rate > 0 && time === 0) {
      return [createFinding(Diagnostics.WarmupRateWithoutTime, subject, { rate })];
    }
    return rate === 0 && time > 0
      ? [createFinding(Diagnostics.WarmupTimeWithoutRate, subject, { time })]
      : NOTHING_FOUND;
  }
}
