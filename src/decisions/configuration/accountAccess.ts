import type { AccountId, GroupId } from '../../common/ids/index.js';
import type { RouteState } from '../tickets/index.js';

/** Which client accounts routes admit, and to which groups. */
export class AccountAccess {
  /** Groups of the routes that admit every account with a key. */
  private readonly groupsForAll = new Set<GroupId>();
  /** Groups of the routes that list the account. */
  private readonly groupsByAccount = new Map<AccountId, Set<GroupId>>();
  /** Groups of the routes whose callers need no key and run as the account. */
  private readonly openGroups = new Map<AccountId, Set<GroupId>>();

  constructor(routes: Iterable<RouteState>) {
    for (const { group, accounts, openAs } of routes) {
      if (openAs !== undefined) {
        addGroup(this.openGroups, openAs, group);
      } else if (accounts === undefined) {
        this.groupsForAll.add(group);
      } else {
        for (const account of accounts) {
          addGroup(this.groupsByAccount, account, group);
        }
      }
    }
  }

  /** Whether a route admits callers with a key of the account. */
  admitsKeys(account: AccountId): boolean {
    return this.groupsForAll.size > 0 || this.groupsByAccount.has(account);
  }

  /** Whether callers can run requests for the account, with or without a key. */
  admits(account: AccountId): boolean {
    return this.admitsKeys(account) || this.openGroups.has(account);
  }

  /** Groups that the account can use through routes that list or open it. */
  getOwnGroups(account: AccountId): Iterable<GroupId> {
    const open = this.openGroups.get(account) ?? [];
    return [...(this.groupsByAccount.get(account) ?? []), ...open];
  }

  /** Groups that every account with a key can use. */
  getGroupsForAll(): Iterable<GroupId> {
    return this.groupsForAll;
  }
}

function addGroup(groups: Map<AccountId, Set<GroupId>>, account: AccountId, group: GroupId): void {
  let known = groups.get(account);
  if (known === undefined) {
    known = new Set();
    groups.set(account, known);
  }
  known.add(group);
}
