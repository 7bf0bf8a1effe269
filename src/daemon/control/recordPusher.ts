import type { TimerService, Unsubscribe } from '../../common/timer/index.js';
import type { Update } from '../../decisions/control/index.js';

/**
 * Sends changed records to daemons at the end of the event loop turn, so that commands that are
 * committed together cause one message for each daemon, as when the resources of all hosts are
 * reassigned.
 */
export class RecordPusher {
  private pending: Update | undefined;
  private cancel: Unsubscribe | undefined;

  constructor(
    private readonly timer: TimerService,
    private readonly send: (update: Update) => void,
  ) {}

  /** Queues changes; they must follow all changes queued before. */
  push(next: Update): void {
    const { pending } = this;
    if (pending !== undefined && pending.update.revision !== next.update.since) {
      // The revisions have a gap: the leader has changed in the meantime.
      this.send(pending);
      this.pending = next;
    } else {
      this.pending = pending === undefined ? next : merge(pending, next);
    }
    this.cancel ??= this.timer.once(0, () => this.flush());
  }

  /** Discards pending changes. */
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

/**
 * Merges two successive updates for the hosts of the later one: a host that is missing there has no
 * lease any more, and a host that is new there received the earlier changes with its grant.
 */
function merge(before: Update, next: Update): Update {
  const names = new Set(next.update.records.map(({ name }) => name));
  const kept = before.update.records.filter(({ name }) => !names.has(name));
  const records = [...kept, ...next.update.records];
  return { ...next, update: { ...next.update, since: before.update.since, records } };
}
