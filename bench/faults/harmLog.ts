import type { TimerService } from '../../src/common/timer/index.js';

/** Promises with a time bound hold only where nothing unplanned happened for this long before. */
export const CONTACT_MS = 4000;

interface HarmSpan {
  readonly fromMs: number;
  toMs: number;
}

function overlaps(spans: readonly HarmSpan[], fromMs: number, toMs: number): boolean {
  return spans.some((span) => span.fromMs <= toMs && span.toMs >= fromMs - CONTACT_MS);
}

/** When unplanned faults were at work, and when hosts were told to stop. */
export class HarmLog {
  private readonly spans: HarmSpan[] = [];
  private readonly slowed: HarmSpan[] = [];
  private readonly stops = new Map<string, number[]>();

  constructor(private readonly timer: TimerService) {}

  /** An unplanned fault begins; call what is returned when it is over. */
  begin(): () => void {
    const span = { fromMs: this.timer.now(), toMs: Infinity };
    this.spans.push(span);
    return () => {
      span.toMs = this.timer.now();
    };
  }

  /** A process of the run got no processor. */
  noteSlowed(fromMs: number, toMs: number): void {
    this.slowed.push({ fromMs, toMs });
  }

  /** A host is told to stop. */
  noteStop(node: string): void {
    this.stops.set(node, [...(this.stops.get(node) ?? []), this.timer.now()]);
  }

  /** The last time before `atMs` at which a host was told to stop. */
  getStop(node: string, atMs: number): number | undefined {
    return this.stops.get(node)?.findLast((stopMs) => stopMs <= atMs);
  }

  /** Whether no unplanned fault was at work from `CONTACT_MS` before a span until its end. */
  isUnharmed(fromMs: number, toMs: number): boolean {
    return !overlaps(this.spans, fromMs, toMs);
  }

  /** As `isUnharmed`, and every process got a processor: promises with a time bound hold. */
  isCalm(fromMs: number, toMs: number): boolean {
    return this.isUnharmed(fromMs, toMs) && !overlaps(this.slowed, fromMs, toMs);
  }
}
