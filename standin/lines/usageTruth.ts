import { StatementWatch, type SeenStatement } from './statementWatch.js';

/** Id of the statements that a daemon itself issues. */
const OWN_STATEMENT = '-';

/** Counts, by window and account, the single statements and transactions that instances ran. */
export class UsageTruth extends StatementWatch {
  readonly windows = new Map<number, Map<string, number>>();
  private readonly transactions = new WeakSet<object>();

  constructor(
    private readonly windowMs: number,
    private readonly getTimeMs: () => number,
  ) {
    super();
  }

  override see({ account, id, transaction }: SeenStatement): void {
    if (id === OWN_STATEMENT || (transaction !== undefined && this.transactions.has(transaction))) {
      return;
    }
    if (transaction !== undefined) {
      this.transactions.add(transaction);
    }
    this.count(account);
  }

  /** Counts one request of an account now. */
  count(account: string): void {
    const window = Math.floor(this.getTimeMs() / this.windowMs);
    const counts = this.windows.get(window) ?? new Map<string, number>();
    this.windows.set(window, counts.set(account, (counts.get(account) ?? 0) + 1));
  }

  /**
   * Returns the windows of a range that are missing, and the accounts whose reported count is off by
   * more than a share.
   */
  findFaults(
    accepted: ReadonlyMap<number, Readonly<Record<string, number>>>,
    [first, last]: readonly [first: number, last: number],
    share: number,
  ): string[] {
    const faults: string[] = [];
    for (let window = first; window <= last; window += 1) {
      const reported = accepted.get(window);
      faults.push(
        ...(reported === undefined
          ? [`window ${window} is missing`]
          : this.findDeviations(window, reported, share)),
      );
    }
    return faults;
  }

  private findDeviations(
    window: number,
    reported: Readonly<Record<string, number>>,
    share: number,
  ): string[] {
    const counts = this.windows.get(window) ?? new Map<string, number>();
    const accounts = [...new Set([...counts.keys(), ...Object.keys(reported)])];
    return accounts
      .map((account) => ({ account, real: counts.get(account) ?? 0, got: reported[account] ?? 0 }))
      .filter(({ real, got }) => Math.abs(real - got) > share * real)
      .map(({ account, real, got }) => `window ${window}: ${account} ${got} of ${real}`);
  }
}
