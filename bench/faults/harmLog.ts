import type { TimerService } from '../../src/common/timer/index.js';

/** Promises with a time bound hold only where nothing unplanned happened for this long before. */
export const CONTACT_MS = 4000;

/** A host that was told to stop. */
export interface PlannedStop {
  readonly atMs: number;
  /** The process ended by itself and well, however little processor time it had. */
  isOrderly: boolean;
}

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
  private readonly stops = new Map<string, PlannedStop[]>();

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
  noteStop(node: string): PlannedStop {
    const stop = { atMs: this.timer.now(), isOrderly: false };
    this.stops.set(node, [...(this.stops.get(node) ?? []), stop]);
    return stop;
  }

  /** The last time before `atMs` at which a host was told to stop. */
  getStop(node: string, atMs: number): PlannedStop | undefined {
    return this.stops.get(node)?.findLast((stop) => stop.atMs <= atMs);
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
