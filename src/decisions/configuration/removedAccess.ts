import { Diagnostics } from '../../common/diagnostics/index.js';
import { listKeys } from './accountEntry.js';
import { getAccountSubject, type CheckedConfiguration } from './checkedConfiguration.js';
import { createFinding, type Finding } from './finding.js';

/** Finds the client accounts and keys that are in force and would be removed. */
export function findRemovedAccess(
  before: CheckedConfiguration,
  after: CheckedConfiguration,
): readonly Finding[] {
  const findings: Finding[] = [];
  for (const { account, keys } of before.accounts.values()) {
    const next = after.accounts.get(account);
    if (next === undefined) {
      findings.push(createFinding(Diagnostics.AccountRemoved, getAccountSubject(account)));
      continue;
    }
    const kept = new Set(next.keys.map(({ identity }) => identity));
    const removed = keys.filter(({ identity }) => !kept.has(identity));
    if (removed.length > 0) {
      const values = { keys: listKeys(removed) };
      findings.push(createFinding(Diagnostics.KeysRemoved, getAccountSubject(account), values));
    }
  }
  return findings;
}
