import { Fifo } from '../../decisions/queue/fifo.js';
import type { TimerService } from '../../common/timer/index.js';

/**
 * Longest time for which work on the control state keeps the event loop. It is far below the
 * shortest election timeout, so that a leader sends heartbeats between two slices.
 */
const SLICE_MS = 10;

/**
 * Work on the control state, done in the order in which it is added. Work that takes longer than a
 * slice continues in later turns of the event loop: a member that applies a long log after its start
 * would otherwise be silent for so long that it loses the leadership it has just won.
 */
export class StateWork {
  private readonly queue = new Fifo<() => void>();
  private isRunning = false;
  private isScheduled = false;
  private isStopped = false;

  constructor(private readonly timer: TimerService) {}

  /** Adds pieces of work; they are done at once as far as the slice allows. */
  add(pieces: readonly (() => void)[]): void {
    for (const work of pieces) {
      this.queue.push(work);
    }
    if (!this.isScheduled) {
      this.run();
    }
  }

  /** Discards the work that is not done. */
  stop(): void {
    this.isStopped = true;
  }

  /** Does work until the slice is over. Work that is added meanwhile is done in its turn. */
  private run(): void {
    if (this.isRunning) {
      return;
    }
    this.isRunning = true;
    const endMs = this.timer.now() + SLICE_MS;
    try {
      for (
        let work = this.takeNext();
        work !== undefined;
        work = this.timer.now() < endMs ? this.takeNext() : undefined
      ) {
        work();
      }
    } finally {
      this.isRunning = false;
    }
    this.scheduleRest();
  }

  private takeNext(): (() => void) | undefined {
    return this.isStopped ? undefined : this.queue.shift();
  }

  private scheduleRest(): void {
    if (this.queue.size > 0 && !this.isStopped) {
      this.isScheduled = true;
      this.timer.once(0, () => {
        this.isScheduled = false;
        this.run();
      });
    }
  }
}
