import { Diagnostics } from '../../common/diagnostics/index.js';
import type { AccountId, GroupId } from '../../common/ids/index.js';
import { getSubjectName, OPEN_ACCOUNT, type RouteState } from '../tickets/index.js';
import { listKeys, type AccountEntry } from './accountEntry.js';
import { getAccountSubject, type CheckedConfiguration } from './checkedConfiguration.js';
import { AccountRule, ConfigurationRule, RouteRule } from './configurationRule.js';
import { createFinding, NOTHING_FOUND, type Finding } from './finding.js';

/** Routes to groups that do not exist. */
export class UnknownGroups extends RouteRule {
  override readonly needsAll = true;

  protected override checkRoute(
    route: RouteState,
    configuration: CheckedConfiguration,
  ): readonly Finding[] {
    const { group } = route;
    if (configuration.groups.has(group)) {
      return NOTHING_FOUND;
    }
    // A group without a ticket of its own runs with defaults once its instances announce themselves.
    const name = getSubjectName(route);
    const isConfigured = configuration.isConfigured(route);
    const diagnostic = isConfigured ? Diagnostics.RouteGroupUnknown : Diagnostics.RouteGroupUnset;
    return [createFinding(diagnostic, name, { group })];
  }
}

/** Routes that name client accounts that do not exist. */
export class UnknownAccounts extends RouteRule {
  override readonly needsAll = true;

  protected override checkRoute(
    route: RouteState,
    { accounts }: CheckedConfiguration,
  ): readonly Finding[] {
    const { openAs, accounts: listed = [] } = route;
    const named = openAs === undefined || openAs === OPEN_ACCOUNT ? listed : [openAs, ...listed];
    const unknown = named.filter((account) => !accounts.has(account));
    if (unknown.length === 0) {
      return NOTHING_FOUND;
    }
    return [...new Set(unknown)].map((account) =>
      createFinding(Diagnostics.RouteAccountUnknown, getSubjectName(route), { account }),
    );
  }
}

/** Routes whose list of accounts admits nobody. */
export class RoutesForNobody extends RouteRule {
  protected override checkRoute(
    route: RouteState,
    { accounts, isComplete }: CheckedConfiguration,
  ): readonly Finding[] {
    const { openAs, accounts: listed } = route;
    if (openAs !== undefined || listed === undefined) {
      return NOTHING_FOUND;
    }
    if (listed.length === 0) {
      return [createFinding(Diagnostics.RouteAccountsEmpty, getSubjectName(route))];
    }
    const hasKeys = (account: AccountId) => (accounts.get(account)?.keys.length ?? 0) > 0;
    if (listed.some(hasKeys)) {
      return NOTHING_FOUND;
    }
    // An unknown account is reported as such; in a ticket of single subjects it may have keys.
    const known = listed.filter((account) => accounts.has(account)).length;
    const isDecided = known > 0 && (isComplete || known === listed.length);
    const values = { count: listed.length };
    return isDecided
      ? [createFinding(Diagnostics.RouteAccountsWithoutKeys, getSubjectName(route), values)]
      : NOTHING_FOUND;
  }
}

/** Client accounts that no route admits. */
export class UnusedAccounts extends AccountRule {
  override readonly needsAll = true;

  protected override checkAccount(
    { account }: AccountEntry,
    configuration: CheckedConfiguration,
  ): readonly Finding[] {
    return configuration.getAccess().admits(account)
      ? NOTHING_FOUND
      : [createFinding(Diagnostics.AccountUnused, getAccountSubject(account))];
  }
}

/** Keys with which no route admits a caller, also where routes are open to the account. */
export class UselessKeys extends AccountRule {
  override readonly needsAll = true;

  protected override checkAccount(
    { account, keys }: AccountEntry,
    configuration: CheckedConfiguration,
  ): readonly Finding[] {
    return keys.length === 0 || configuration.getAccess().admitsKeys(account)
      ? NOTHING_FOUND
      : [
          createFinding(Diagnostics.KeysOpenNothing, getAccountSubject(account), {
            keys: listKeys(keys),
          }),
        ];
  }
}

/** Groups that no route uses. */
export class UnusedGroups extends ConfigurationRule {
  override readonly needsAll = true;

  override check({ routes, groups }: CheckedConfiguration): readonly Finding[] {
    const used = new Set<GroupId>();
    for (const { group } of routes.values()) {
      used.add(group);
    }
    return [...groups.values()]
      .filter(({ group }) => !used.has(group))
      .map((state) => createFinding(Diagnostics.GroupUnused, getSubjectName(state)));
  }
}

/** Subjects of their own that have no effect, because the complete configuration names them. */
export class ShadowedSubjects extends ConfigurationRule {
  override check({ shadowed }: CheckedConfiguration): readonly Finding[] {
    return shadowed.map((name) => createFinding(Diagnostics.SubjectShadowed, name));
  }
}
