import type { AccountId, GroupId } from '../../common/ids/index.js';
import type { AccountState } from './accountState.js';
import type { ConfigurationState, ConfiguredAccount } from './configurationState.js';
import type { GroupState } from './groupState.js';
import type { RouteState } from './routeState.js';

/** Lookup tables of a complete configuration. */
export class ConfigurationIndex {
  private readonly routes: ReadonlyMap<string, RouteState>;
  private readonly accounts: ReadonlyMap<AccountId, AccountState>;
  private readonly groups: ReadonlyMap<GroupId, GroupState>;
  private readonly accountsByDigest = new Map<string, AccountId>();

  constructor(readonly state: ConfigurationState) {
    this.routes = new Map(state.routes.map((route) => [route.route, route]));
    this.accounts = new Map(state.accounts.map((each) => [each.account, toAccountState(each)]));
    this.groups = new Map(state.groups.map((group) => [group.group, group]));
    for (const { account, keyDigests } of state.accounts) {
      for (const digest of keyDigests) {
        this.accountsByDigest.set(digest, account);
      }
    }
  }

  getRoute(route: string): RouteState | undefined {
    return this.routes.get(route);
  }

  getAccount(account: AccountId): AccountState | undefined {
    return this.accounts.get(account);
  }

  getGroup(group: GroupId): GroupState | undefined {
    return this.groups.get(group);
  }

  /** Returns the client account of the key with that digest; undefined if there is none. */
  findAccount(keyDigest: string): AccountId | undefined {
    return this.accountsByDigest.get(keyDigest);
  }
}

function toAccountState(configured: ConfiguredAccount): AccountState {
  const { kind, account, rate, burst, maximumOpenTransactions } = configured;
  const limits = { rate, burst, maximumOpenTransactions };
  return { kind, account, ...limits, salt: '', iterations: 1, keys: [] };
}
