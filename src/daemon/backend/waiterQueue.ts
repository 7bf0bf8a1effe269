import { getPriorityRank } from '../../common/priority.js';
import type { ConnectionWaiter } from './connectionPool.js';

/** Number of more urgent waiters that may be placed before a waiter after its arrival. */
const MAXIMUM_PASSES = 10;

interface WaiterEntry {
  readonly waiter: ConnectionWaiter;
  readonly rank: number;
  passes: number;
}

/** Requests that wait for a connection, the most urgent first and then in order of arrival. */
export class WaiterQueue {
  private entries: WaiterEntry[] = [];

  /** Adds a waiter behind those that are at least as urgent or have been passed over too often. */
  push(waiter: ConnectionWaiter): void {
    const rank = getPriorityRank(waiter.priority);
    let index = this.entries.length;
    for (let last = this.entries[index - 1]; last !== undefined; last = this.entries[index - 1]) {
      if (last.rank <= rank || last.passes >= MAXIMUM_PASSES) {
        break;
      }
      last.passes += 1;
      index -= 1;
    }
    this.entries.splice(index, 0, { waiter, rank, passes: 0 });
  }

  /** Removes a waiter if it is present. */
  remove(waiter: ConnectionWaiter): void {
    this.entries = this.entries.filter((each) => each.waiter !== waiter);
  }

  /** Removes and returns the first waiter that may use a connection. */
  takeFirst(mayUse: (waiter: ConnectionWaiter) => boolean): ConnectionWaiter | undefined {
    return this.take(this.entries.find(({ waiter }) => mayUse(waiter)));
  }

  /** Removes and returns the first waiter of the least urgent rank that may use a connection. */
  takeLeastUrgent(mayUse: (waiter: ConnectionWaiter) => boolean): ConnectionWaiter | undefined {
    const candidates = this.entries.filter(({ waiter }) => mayUse(waiter));
    const rank = Math.max(...candidates.map((each) => each.rank));
    return this.take(candidates.find((each) => each.rank === rank));
  }

  /** Removes and returns all waiters. */
  takeAll(): ConnectionWaiter[] {
    return this.entries.splice(0).map(({ waiter }) => waiter);
  }

  /** Returns the waiters in order. */
  getAll(): ConnectionWaiter[] {
    return this.entries.map(({ waiter }) => waiter);
  }

  private take(entry: WaiterEntry | undefined): ConnectionWaiter | undefined {
    if (entry !== undefined) {
      this.entries.splice(this.entries.indexOf(entry), 1);
    }
    return entry?.waiter;
  }
}
