import { Diagnostics, type Diagnostic } from '../../../common/diagnostics/index.js';
import { UsageEvent } from '../../../common/metrics/usageEvent.js';
import {
  ClockOffsets,
  CollectedUsage,
  countRequests,
  getWindow,
  getWindowEndMs,
  MAXIMUM_PENDING_WINDOWS,
  ReportOutcome,
  ReportSender,
  type UsageGrant,
  type UsageReport,
  type UsageSection,
  type UsageTerms,
} from '../../usage/index.js';
import type { WindowNumber } from '../../../common/ids/index.js';
import { CommandKind } from '../commandKind.js';
import type { LeaseRenewal } from '../leaseRenewal.js';
import { getKeptUsageKey, getUsageSettlementKey, USAGE_COMMIT_KEY } from './commandKey.js';
import type { ReportResult } from './controlInput.js';
import { ControlOutputKind } from './controlOutput.js';
import type { LeaderContext } from './leaderContext.js';

/** Share of the delay of a report after which a window closes without the last counts of hosts. */
const CLOSING_SHARE = 0.5;
/** Windows ahead of the fleet time that are taken: the clocks of the hosts differ a little. */
const WINDOWS_AHEAD = 1;
/** Time without a renewal after which a host may be lost: two renewals are missing. */
const SILENCE_MS = 600;
/** Time between two updates of the fleet time: hosts renew that often. */
const CLOCK_INTERVAL_MS = 250;

/**
 * Collects the usage counts of hosts, commits a window when it closes, and has committed windows
 * reported. Does nothing where the settings ask for no reports.
 */
export class UsageReporter {
  private readonly offsets = new ClockOffsets();
  private readonly collected = new CollectedUsage();
  private readonly sender: ReportSender | undefined;
  /** Windows that were reported or given up, whose settlement is not committed yet. */
  private readonly finished = new Set<WindowNumber>();
  private term = 0;
  private updatedMs = -Infinity;

  constructor(private readonly context: LeaderContext) {
    const { usage } = context.settings;
    this.sender = usage && new ReportSender(usage);
  }

  /** Begins a leadership under a consensus term, which is the fence token of its reports. */
  begin(term: number, nowMs: number): void {
    this.term = term;
    this.offsets.clear();
    this.collected.clear();
    this.finished.clear();
    this.updatedMs = -Infinity;
    this.sender?.begin(term, nowMs);
    for (const kept of this.context.state.keptUsage) {
      this.collected.addKept(kept);
    }
  }

  /** Ends the leadership. */
  end(): void {
    this.sender?.end();
  }

  /** Takes the usage section of a renewal; returns the answer to it. */
  receive(renewal: LeaseRenewal, nowMs: number): UsageGrant | undefined {
    const { usage: terms } = this.context.settings;
    if (terms === undefined) {
      return undefined;
    }
    const { usage: section, host } = renewal;
    this.collected.recordRenewal(renewal, nowMs);
    if (section === undefined) {
      return undefined;
    }
    this.offsets.record(host, section.wallMs, nowMs);
    const fleetMs = this.getFleetMs(nowMs);
    const last = fleetMs === undefined ? Infinity : getWindow(fleetMs, terms) + WINDOWS_AHEAD;
    const first = this.getFirst(terms, fleetMs);
    const isKnown = this.collected.add(renewal, section, this.term, [first, last]);
    return { ...this.createGrant(section, fleetMs), ...(isKnown ? {} : { isUnknown: true }) };
  }

  /** Closes the windows that are due, and sends the report that is due. */
  tick(nowMs: number): void {
    const { sender } = this;
    const { usage: terms } = this.context.settings;
    if (sender === undefined || terms === undefined) {
      return;
    }
    this.updateClock(nowMs);
    this.settleFinished(nowMs);
    this.closeNext(terms, nowMs);
    const pending = this.context.state.pendingUsage;
    const report = sender.next(
      pending.filter(({ window }) => !this.finished.has(window)),
      nowMs,
    );
    if (report !== undefined) {
      this.context.outbox.add({ kind: ControlOutputKind.ReportUsage, report });
    }
  }

  /** Processes the outcome of a report. */
  handleResult({ report, outcome }: ReportResult, nowMs: number): void {
    const { usage: terms } = this.context.settings;
    if (terms === undefined || this.sender?.receive(report, outcome, nowMs) !== true) {
      return;
    }
    const ageMs = this.getAgeMs(report.window, terms, nowMs);
    if (outcome === ReportOutcome.Accepted) {
      this.finished.add(report.window);
      this.count(ageMs > terms.delayMs ? UsageEvent.Late : UsageEvent.Reported);
      this.logReport(Diagnostics.UsageReported, report, outcome, ageMs);
      this.settleFinished(nowMs);
      return;
    }
    const isFenced = outcome === ReportOutcome.Fenced;
    this.count(isFenced ? UsageEvent.Rejected : UsageEvent.Repeated);
    this.logReport(Diagnostics.UsageNotReported, report, outcome, ageMs);
  }

  private createGrant({ number }: UsageSection, fleetMs: number | undefined): UsageGrant {
    const { committedUsage: settled } = this.context.state;
    return {
      number,
      term: this.term,
      ...(fleetMs === undefined ? {} : { fleetMs: Math.round(fleetMs) }),
      ...(settled === undefined ? {} : { settled }),
    };
  }

  /**
   * The fleet time; undefined until every host that had a lease under an earlier leader has renewed
   * it, since few wall clocks may all be wrong.
   */
  private getFleetMs(nowMs: number): number | undefined {
    return this.context.leases.isWaiting(nowMs) ? undefined : this.offsets.getTimeMs(nowMs);
  }

  /**
   * The first window that may still be committed. A host whose clock is far off, or that was cut off
   * for long, can't make the leader commit windows of the distant past one by one.
   */
  private getFirst(terms: UsageTerms, fleetMs: number | undefined): number {
    const { committedUsage } = this.context.state;
    const next = committedUsage === undefined ? 0 : committedUsage + 1;
    const oldest = fleetMs === undefined ? 0 : getWindow(fleetMs, terms) - MAXIMUM_PENDING_WINDOWS;
    return Math.max(next, oldest);
  }

  private updateClock(nowMs: number): void {
    if (nowMs - this.updatedMs < CLOCK_INTERVAL_MS) {
      return;
    }
    const wasPaused = nowMs - this.updatedMs > 2 * CLOCK_INTERVAL_MS;
    this.updatedMs = nowMs;
    // After a pause of this process every host seems silent.
    if (!wasPaused) {
      this.keepSilent(nowMs);
    }
    const { leases, state } = this.context;
    const live = leases.getLive();
    this.offsets.update(new Set(live.map(({ host }) => host)));
    this.collected.retain(state.committedUsage, new Set(live.map(({ lease }) => lease)));
  }

  private keepSilent(nowMs: number): void {
    for (const usage of this.collected.takeSilent(nowMs - SILENCE_MS)) {
      const key = getKeptUsageKey(usage.incarnation);
      this.context.outbox.propose(key, { kind: CommandKind.KeepUsage, usage }, nowMs);
    }
  }

  /** Proposes to commit the first window that is due, one at a time. */
  private closeNext(terms: UsageTerms, nowMs: number): void {
    const { leases, outbox } = this.context;
    const fleetMs = this.getFleetMs(nowMs);
    const window = this.collected.findNext(this.getFirst(terms, fleetMs));
    if (
      fleetMs === undefined ||
      window === undefined ||
      outbox.isPending(USAGE_COMMIT_KEY, nowMs)
    ) {
      return;
    }
    const ageMs = fleetMs - getWindowEndMs(window, terms);
    const live = leases.getLive().map(({ lease }) => lease);
    const isComplete = this.collected.hasAll(window, live, nowMs);
    if (ageMs < 0 || (!isComplete && ageMs < terms.delayMs * CLOSING_SHARE)) {
      return;
    }
    if (!isComplete) {
      this.count(UsageEvent.Incomplete);
      const values = { window, ageMs: Math.round(ageMs), hosts: live.length };
      outbox.log(Diagnostics.UsageIncomplete, values);
    }
    this.recordMissed(window, nowMs);
    const usage = this.collected.sum(window);
    outbox.propose(USAGE_COMMIT_KEY, { kind: CommandKind.CommitUsage, usage }, nowMs);
  }

  /** Records the windows before one that are never reported, and gives up the oldest if needed. */
  private recordMissed(window: WindowNumber, nowMs: number): void {
    const { state } = this.context;
    const skipped = state.committedUsage === undefined ? 0 : window - state.committedUsage - 1;
    const waiting = state.pendingUsage.filter((each) => !this.finished.has(each.window));
    const [oldest] = waiting;
    const isFull = waiting.length >= MAXIMUM_PENDING_WINDOWS;
    if (isFull && oldest !== undefined) {
      this.finished.add(oldest.window);
      this.settleFinished(nowMs);
    }
    const count = skipped + (isFull ? 1 : 0);
    if (count > 0) {
      this.count(UsageEvent.Missed, count);
      this.context.outbox.log(Diagnostics.UsageMissed, { count, window });
    }
  }

  private settleFinished(nowMs: number): void {
    const { state, outbox } = this.context;
    const pending = new Set(state.pendingUsage.map(({ window }) => window));
    for (const window of this.finished) {
      if (pending.has(window)) {
        const command = { kind: CommandKind.SettleUsage, window } as const;
        outbox.propose(getUsageSettlementKey(window), command, nowMs);
      } else {
        this.finished.delete(window);
      }
    }
  }

  private count(event: UsageEvent, count = 1): void {
    this.context.outbox.add({ kind: ControlOutputKind.CountUsage, event, count });
  }

  private logReport(
    diagnostic: Diagnostic,
    report: UsageReport,
    outcome: ReportOutcome,
    ageMs: number,
  ): void {
    const { window, token, attempt, counts } = report;
    const values = { window, token, attempt, outcome, ageMs: Math.round(ageMs) };
    const sums = { requests: countRequests(report), accounts: counts.length };
    this.context.outbox.log(diagnostic, { ...values, ...sums });
  }

  private getAgeMs(window: WindowNumber, terms: UsageTerms, nowMs: number): number {
    return (this.offsets.getTimeMs(nowMs) ?? 0) - getWindowEndMs(window, terms);
  }
}
