import { toAccountId, toGroupId, type AccountId, type GroupId } from '../../common/ids/index.js';
import {
  getSubjectName,
  SubjectKind,
  type ConfigurationState,
  type GroupState,
  type RouteState,
  type SubjectState,
} from '../tickets/index.js';
import { AccountAccess } from './accountAccess.js';
import { createAccountEntry, createConfiguredEntry, type AccountEntry } from './accountEntry.js';

/** A subject of its own that other subjects do not refer to. */
export type OtherState = Exclude<
  SubjectState,
  { kind: SubjectKind.Route | SubjectKind.Account | SubjectKind.Group | SubjectKind.Configuration }
>;

/**
 * The subjects that are checked together. Entries of a complete configuration take precedence over
 * subjects of their own with the same name, as in the daemons' lookups.
 */
export class CheckedConfiguration {
  readonly routes = new Map<string, RouteState>();
  readonly accounts = new Map<AccountId, AccountEntry>();
  readonly groups = new Map<GroupId, GroupState>();
  readonly others = new Map<string, OtherState>();
  /** Names of subjects of their own that the complete configuration names too. */
  readonly shadowed: readonly string[];
  /** Routes that are subjects of their own. */
  private readonly singleRoutes = new Set<RouteState>();
  private access: AccountAccess | undefined;

  /** `isComplete`: whether an entry that is absent here is in force nowhere. */
  constructor(
    subjects: readonly SubjectState[],
    readonly isComplete: boolean,
  ) {
    const shadowed: string[] = [];
    const singles: Exclude<SubjectState, ConfigurationState>[] = [];
    for (const state of subjects) {
      if (state.kind === SubjectKind.Configuration) {
        this.addConfiguration(state);
      } else {
        singles.push(state);
      }
    }
    for (const state of singles) {
      const name = getSubjectName(state);
      if (this.has(name)) {
        shadowed.push(name);
      } else {
        this.addSingle(state, name);
      }
    }
    this.shadowed = shadowed;
  }

  /** Whether a subject or an entry of the complete configuration has that name. */
  has(subject: string): boolean {
    return (
      this.routes.has(getName(subject, SubjectKind.Route)) ||
      this.accounts.has(toAccountId(getName(subject, SubjectKind.Account))) ||
      this.groups.has(toGroupId(getName(subject, SubjectKind.Group))) ||
      this.others.has(subject)
    );
  }

  /** Whether a route is part of the complete configuration. */
  isConfigured(route: RouteState): boolean {
    return !this.singleRoutes.has(route);
  }

  /** Which accounts the routes admit. */
  getAccess(): AccountAccess {
    this.access ??= new AccountAccess(this.routes.values());
    return this.access;
  }

  private addSingle(state: Exclude<SubjectState, ConfigurationState>, name: string): void {
    switch (state.kind) {
      case SubjectKind.Route:
        this.routes.set(state.route, state);
        this.singleRoutes.add(state);
        break;
      case SubjectKind.Account:
        this.accounts.set(state.account, createAccountEntry(state));
        break;
      case SubjectKind.Group:
        this.groups.set(state.group, state);
        break;
      default:
        this.others.set(name, state);
    }
  }

  private addConfiguration({ routes, accounts, groups }: ConfigurationState): void {
    for (const route of routes) {
      this.routes.set(route.route, route);
    }
    for (const account of accounts) {
      this.accounts.set(account.account, createConfiguredEntry(account));
    }
    for (const group of groups) {
      this.groups.set(group.group, group);
    }
  }
}

/** Returns the subject's name of a client account. */
export function getAccountSubject(account: AccountId): string {
  return `${SubjectKind.Account}/${account}`;
}

/** Returns the name without its kind; empty, which no subject is, if it is of another kind. */
function getName(subject: string, kind: SubjectKind): string {
  return subject.startsWith(`${kind}/`) ? subject.slice(kind.length + 1) : '';
}
