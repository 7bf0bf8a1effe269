import type { TimerService, Unsubscribe } from '../../common/timer/index.js';
import type { Update } from '../../decisions/control/index.js';

/**
 * Tells daemons of changed records once all that is under way in this turn is done: commands that are
 * committed together, as when what all hosts held is assigned anew, make one message a daemon.
 */
export class RecordPusher {
  private pending: Update | undefined;
  private cancel: Unsubscribe | undefined;

  constructor(
    private readonly timer: TimerService,
    private readonly send: (update: Update) => void,
  ) {}

  /** Takes changes that came after all that were taken before. */
  push(next: Update): void {
    const { pending } = this;
    if (pending !== undefined && pending.update.revision !== next.update.since) {
      // Another leadership began meanwhile.
      this.send(pending);
      this.pending = next;
    } else {
      this.pending = pending === undefined ? next : merge(pending, next);
    }
    this.cancel ??= this.timer.once(0, () => this.flush());
  }

  /** Forgets what is pending. */
  stop(): void {
    this.cancel?.();
    this.pending = undefined;
  }

  private flush(): void {
    const { pending } = this;
    this.cancel = undefined;
    this.pending = undefined;
    if (pending !== undefined) {
      this.send(pending);
    }
  }
}

/** Daemons that are told no more have no lease; one that is new was granted all that went before. */
function merge(before: Update, next: Update): Update {
  const names = new Set(next.update.records.map(({ name }) => name));
  const kept = before.update.records.filter(({ name }) => !names.has(name));
  const records = [...kept, ...next.update.records];
  return { ...next, update: { ...next.update, since: before.update.since, records } };
}
