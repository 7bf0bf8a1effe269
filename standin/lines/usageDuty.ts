/** A usage report as the platform receives it. */
export interface ReceivedReport {
  readonly holder: string;
  readonly token: number;
  readonly windowId: number;
  readonly counts: Readonly<Record<string, number>>;
}

interface Call {
  readonly holder: string;
  readonly atMs: number;
}

const ACCEPTED = 200;
const OUTDATED_TOKEN = 409;

/** The platform's side of usage reports: takes them, and records the rules that they break. */
export class UsageDuty {
  /** Accepted reports by window. */
  readonly accepted = new Map<number, Readonly<Record<string, number>>>();
  /** Time of the first acceptance of each window, in milliseconds. */
  readonly acceptedMs = new Map<number, number>();
  /** Descriptions of the rules that were broken. */
  readonly violations: string[] = [];
  private highestToken = 0;
  private readonly holders = new Map<number, string>();
  private readonly refused = new Set<string>();
  private calls: Call[] = [];

  constructor(
    private readonly leaseMs: number,
    private readonly isFenced = true,
  ) {}

  /** Checks a call at the time it is made; `carryOut` may follow later. */
  call({ holder, token }: ReceivedReport, nowMs: number): void {
    const owner = this.holders.get(token) ?? holder;
    this.holders.set(token, owner);
    this.check(owner === holder, `token ${token} of ${owner} is used by ${holder}`);
    this.check(!this.refused.has(`${holder} ${token}`), `${holder} sends refused token ${token}`);
    this.check(this.isFenced || token >= this.highestToken, `token ${token} is too low`);
    const recent = this.calls.filter(({ atMs }) => nowMs - atMs < this.leaseMs);
    const other = recent.findIndex((each) => each.holder !== holder);
    const isFirst = recent.slice(0, Math.max(0, other)).every((each) => each.holder !== holder);
    this.check(isFirst, `${holder} acts again after another holder within the lease`);
    this.calls = [...recent, { holder, atMs: nowMs }];
  }

  /** Carries out a call; returns the HTTP status of its answer. */
  carryOut({ holder, token, windowId, counts }: ReceivedReport, nowMs: number): number {
    if (this.isFenced && token < this.highestToken) {
      this.refused.add(`${holder} ${token}`);
      return OUTDATED_TOKEN;
    }
    this.highestToken = Math.max(token, this.highestToken);
    const known = this.accepted.get(windowId);
    const isSame = known === undefined || JSON.stringify(known) === JSON.stringify(counts);
    this.check(isSame, `two reports of window ${windowId} differ`);
    this.accepted.set(windowId, counts);
    this.acceptedMs.set(windowId, this.acceptedMs.get(windowId) ?? nowMs);
    return ACCEPTED;
  }

  private check(isKept: boolean, violation: string): void {
    if (!isKept) {
      this.violations.push(violation);
    }
  }
}
