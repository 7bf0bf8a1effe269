import type { GroupState, RouteState } from '../tickets/index.js';
import type { AccountEntry } from './accountEntry.js';
import type { CheckedConfiguration } from './checkedConfiguration.js';
import type { Finding } from './finding.js';

/** One rule of the check. */
export abstract class ConfigurationRule {
  /** Whether the rule concludes from absent entries, and needs a complete configuration. */
  readonly needsAll: boolean = false;

  abstract check(configuration: CheckedConfiguration): readonly Finding[];
}

/** A rule for each route. */
export abstract class RouteRule extends ConfigurationRule {
  override check(configuration: CheckedConfiguration): readonly Finding[] {
    const findings: Finding[] = [];
    for (const route of configuration.routes.values()) {
      findings.push(...this.checkRoute(route, configuration));
    }
    return findings;
  }

  protected abstract checkRoute(
    route: RouteState,
    configuration: CheckedConfiguration,
  ): readonly Finding[];
}

/** A rule for each client account. */
export abstract class AccountRule extends ConfigurationRule {
  override check(configuration: CheckedConfiguration): readonly Finding[] {
    const findings: Finding[] = [];
    for (const account of configuration.accounts.values()) {
      findings.push(...this.checkAccount(account, configuration));
    }
    return findings;
  }

  protected abstract checkAccount(
    account: AccountEntry,
    configuration: CheckedConfiguration,
  ): readonly Finding[];
}

/** A rule for each group. */
export abstract class GroupRule extends ConfigurationRule {
  override check(configuration: CheckedConfiguration): readonly Finding[] {
    const findings: Finding[] = [];
    for (const group of configuration.groups.values()) {
      findings.push(...this.checkGroup(group));
    }
    return findings;
  }

  protected abstract checkGroup(group: GroupState): readonly Finding[];
}
