import type { Unsubscribe } from './timerService.js';

/** The runtime's timers have whole milliseconds, so a tick may come that much early. */
const EARLY_MS = 1;

type Handler = (nowMs: number) => void;

interface Entry {
  readonly handler: Handler;
  isSubscribed: boolean;
}

/** Handlers of one interval, called one after the other. */
interface TickGroup {
  readonly intervalMs: number;
  dueMs: number;
  readonly entries: Set<Entry>;
}

/**
 * Short intervals on one timer of the runtime, so that a process at rest wakes once for all that is
 * due instead of once for each. The timer runs at the shortest interval subscribed.
 */
export class SharedTicks {
  private readonly groups = new Map<number, TickGroup>();
  private baseMs = Infinity;
  private handle: ReturnType<typeof setInterval> | undefined;

  constructor(private readonly now: () => number) {}

  /** Calls the handler about every `intervalMs`, together with others of that interval. */
  subscribe(intervalMs: number, handler: Handler): Unsubscribe {
    const entry: Entry = { handler, isSubscribed: true };
    const group = this.groups.get(intervalMs) ?? this.addGroup(intervalMs);
    group.entries.add(entry);
    return () => {
      entry.isSubscribed = false;
      group.entries.delete(entry);
      if (group.entries.size === 0 && this.groups.get(intervalMs) === group) {
        this.groups.delete(intervalMs);
        this.adjust();
      }
    };
  }

  private addGroup(intervalMs: number): TickGroup {
    const dueMs = this.now() + intervalMs;
    const group: TickGroup = { intervalMs, dueMs, entries: new Set() };
    this.groups.set(intervalMs, group);
    this.adjust();
    return group;
  }

  private adjust(): void {
    const baseMs = Math.min(Infinity, ...this.groups.keys());
    if (baseMs === this.baseMs) {
      return;
    }
    this.baseMs = baseMs;
    clearInterval(this.handle);
    this.handle = Number.isFinite(baseMs) ? setInterval(() => this.tick(), baseMs) : undefined;
  }

  private tick(): void {
    const nowMs = this.now();
    const due: Entry[] = [];
    for (const group of this.groups.values()) {
      if (nowMs + EARLY_MS >= group.dueMs) {
        const nextMs = group.dueMs + group.intervalMs;
        group.dueMs = nextMs > nowMs ? nextMs : nowMs + group.intervalMs;
        due.push(...group.entries);
      }
    }
    this.callFrom(due, 0);
  }

  /** Calls the rest also when one throws. */
  private callFrom(due: readonly Entry[], index: number): void {
    const entry = due[index];
    if (entry === undefined) {
      return;
    }
    try {
      if (entry.isSubscribed) {
        entry.handler(this.now());
      }
    } finally {
      this.callFrom(due, index + 1);
    }
  }
}
