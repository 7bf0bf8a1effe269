import {
  createEmptyState,
  StoredLog,
  type MemberId,
  type PersistOutput,
  type StoredState,
} from '../../../src/decisions/consensus/index.js';
import type { SeededRandom } from '../seededRandom.js';

/** A member's disk: changes are lost with a crash until they are synced. */
export class SimulatedDisk {
  private log = new StoredLog<string>(createEmptyState());
  private unsynced: PersistOutput<string>[] = [];

  constructor(
    readonly identity: MemberId,
    state: StoredState<string>,
  ) {
    this.log = new StoredLog(state);
  }

  /** The last change written, synced or not. */
  get lastSequence(): number | undefined {
    return this.unsynced.at(-1)?.sequence;
  }

  /** Takes a change that is lost with a crash for now. */
  write(change: PersistOutput<string>): void {
    this.unsynced.push(change);
  }

  /** Makes the changes up to the sequence durable. */
  sync(sequence: number): void {
    while ((this.unsynced[0]?.sequence ?? Number.POSITIVE_INFINITY) <= sequence) {
      const change = this.unsynced.shift();
      if (change !== undefined) {
        this.log.apply(change);
      }
    }
  }

  /** Keeps a random part of the changes that were not synced. */
  crash(random: SeededRandom): void {
    const survivors = this.unsynced.slice(0, random.nextBelow(this.unsynced.length + 1));
    survivors.forEach((change) => this.log.apply(change));
    this.unsynced = [];
  }

  /** What a restarted member finds. */
  read(): StoredState<string> {
    return this.log.getState();
  }
}
