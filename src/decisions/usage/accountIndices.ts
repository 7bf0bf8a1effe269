import type { AccountId } from '../../common/ids/index.js';
import type { AccountName } from './usageSection.js';

/**
 * Indices by which a host refers to client accounts in its sections, and which of them its control
 * leader knows. An index takes a byte or two, a name about ten.
 */
export class AccountIndices {
  private readonly indices = new Map<AccountId, number>();
  private readonly known = new Set<number>();

  /** The index of an account. */
  get(account: AccountId): number {
    const index = this.indices.get(account) ?? this.indices.size;
    this.indices.set(account, index);
    return index;
  }

  /** Whether the leader knows the name of an account. */
  isKnown(account: AccountId): boolean {
    return this.known.has(this.get(account));
  }

  /** The names of those accounts that the leader does not know. */
  getUnknown(accounts: Iterable<AccountId>): AccountName[] {
    return [...new Set(accounts)]
      .filter((account) => !this.isKnown(account))
      .map((account) => [this.get(account), account]);
  }

  /** Records that the leader knows names. */
  acknowledge(names: readonly AccountName[]): void {
    for (const [index] of names) {
      this.known.add(index);
    }
  }

  /** Records that the leader knows no names, as after a change of the leader. */
  forget(): void {
    this.known.clear();
  }
}
