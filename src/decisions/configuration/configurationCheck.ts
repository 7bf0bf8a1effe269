import type { Diagnostic } from '../../common/diagnostics/index.js';
import {
  getSubjectName,
  SubjectKind,
  type ConfigurationState,
  type SubjectState,
  type Ticket,
} from '../tickets/index.js';
import { CheckedConfiguration, getAccountSubject } from './checkedConfiguration.js';
import type { ConfigurationRule } from './configurationRule.js';
import { findDifferences, type Difference } from './differences.js';
import { Severity, type Finding } from './finding.js';
import {
  BurstsBelowGrants,
  IdleLimitsAboveTransactions,
  IncompleteWarmups,
  StalenessBelowMinimum,
  TargetsAboveTimeouts,
  TimeoutsAboveTransactions,
  TransactionsAboveConnections,
} from './limitRules.js';
import {
  RoutesForNobody,
  ShadowedSubjects,
  UnknownAccounts,
  UnknownGroups,
  UnusedAccounts,
  UnusedGroups,
  UselessKeys,
} from './referenceRules.js';
import { findRemovedAccess } from './removedAccess.js';
import { findNumberRefusal, type SubjectVersion } from './ticketRules.js';

const RULES: readonly ConfigurationRule[] = [
  new UnknownGroups(),
  new UnknownAccounts(),
  new RoutesForNobody(),
  new UnusedAccounts(),
  new UselessKeys(),
  new UnusedGroups(),
  new ShadowedSubjects(),
  new TimeoutsAboveTransactions(),
  new TargetsAboveTimeouts(),
  new IdleLimitsAboveTransactions(),
  new TransactionsAboveConnections(),
  new BurstsBelowGrants(),
  new StalenessBelowMinimum(),
  new IncompleteWarmups(),
];

/** What is checked. */
export interface ConfigurationCheckOptions {
  /** A valid ticket. */
  readonly ticket: Ticket;
  /** Whether the ticket's number was chosen; otherwise the number is not checked. */
  readonly isNumbered: boolean;
  /** All subjects in force; undefined if they are not known. */
  readonly inForce?: readonly SubjectVersion[] | undefined;
  /** Diagnostics that do not apply, because the format does not set the values that they concern. */
  readonly omitted?: ReadonlySet<Diagnostic> | undefined;
}

/** What the check of a configuration found. */
export interface ConfigurationCheck {
  /** Errors first. */
  readonly findings: readonly Finding[];
  /** Undefined if nothing was compared. */
  readonly differences: readonly Difference[] | undefined;
  /** Whether the rules that conclude from absent entries were applied. */
  readonly isComplete: boolean;
}

/**
 * Checks what would be in force after the ticket. Of the subjects that the ticket does not name, only
 * findings that the version in force does not have are returned.
 */
export function checkConfiguration(options: ConfigurationCheckOptions): ConfigurationCheck {
  const { ticket, isNumbered, inForce } = options;
  const isReplaced = ticket.subjects.some(({ kind }) => kind === SubjectKind.Configuration);
  const isComplete = isReplaced || inForce !== undefined;
  const before = inForce?.map(({ state }) => state) ?? [];
  const after = new CheckedConfiguration(replaceSubjects(before, ticket.subjects), isComplete);
  let findings: readonly Finding[] = findAll(after);
  let differences: readonly Difference[] | undefined;
  if (inForce !== undefined) {
    const earlier = new CheckedConfiguration(before, true);
    findings = [
      ...(isNumbered ? findNumberRefusal(ticket, inForce) : []),
      ...leaveOutKnown(findings, earlier, listKept(before, after, ticket)),
      ...findRemovedAccess(earlier, after),
    ];
    differences = findDifferences(earlier, after);
  }
  const codes = new Set([...(options.omitted ?? [])].map(({ code }) => code));
  const applying = findings.filter(({ code }) => !codes.has(code));
  return { findings: sortBySeverity(applying), differences, isComplete };
}

function findAll(configuration: CheckedConfiguration): readonly Finding[] {
  return RULES.filter(({ needsAll }) => configuration.isComplete || !needsAll).flatMap((rule) =>
    rule.check(configuration),
  );
}

/** The subjects in force after a ticket; a ticket's complete configuration replaces the earlier one. */
function replaceSubjects(
  before: readonly SubjectState[],
  changed: readonly SubjectState[],
): readonly SubjectState[] {
  const states = new Map(before.map((state) => [getSubjectName(state), state]));
  for (const state of changed) {
    states.set(getSubjectName(state), state);
  }
  return [...states.values()];
}

/** Leaves out findings on subjects that the ticket does not name, if they were there before. */
function leaveOutKnown(
  findings: readonly Finding[],
  earlier: CheckedConfiguration,
  kept: ReadonlySet<string>,
): readonly Finding[] {
  if (findings.every(({ subject }) => !kept.has(subject))) {
    return findings;
  }
  const known = new Set(findAll(earlier).map(getIdentity));
  return findings.filter(
    (finding) => !kept.has(finding.subject) || !known.has(getIdentity(finding)),
  );
}

/** Lists what stays as it was: neither the ticket nor its complete configuration names it. */
function listKept(
  before: readonly SubjectState[],
  { shadowed }: CheckedConfiguration,
  { subjects }: Ticket,
): ReadonlySet<string> {
  const named = new Set([...subjects.map((state) => getSubjectName(state)), ...shadowed]);
  const isReplaced = named.has(SubjectKind.Configuration);
  const kept = new Set<string>();
  for (const state of before) {
    const names =
      state.kind === SubjectKind.Configuration && !isReplaced
        ? listConfigured(state)
        : [getSubjectName(state)];
    for (const name of names.filter((each) => !named.has(each))) {
      kept.add(name);
    }
  }
  return kept;
}

function listConfigured({ routes, accounts, groups }: ConfigurationState): readonly string[] {
  return [
    ...[...routes, ...groups].map((entry) => getSubjectName(entry)),
    ...accounts.map(({ account }) => getAccountSubject(account)),
  ];
}

function getIdentity({ code, subject, sentence }: Finding): string {
  return `${code} ${subject} ${sentence}`;
}

function sortBySeverity(findings: readonly Finding[]): readonly Finding[] {
  const errors = findings.filter(({ severity }) => severity === Severity.Error);
  return [...errors, ...findings.filter(({ severity }) => severity !== Severity.Error)];
}
