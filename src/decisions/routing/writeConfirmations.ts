import type { InstanceId, RequestId, Term } from '../../common/ids/index.js';
import type { SessionPosition } from '../sessions/index.js';

/** A committed write whose acknowledgement waits. */
export interface PendingWrite {
  readonly id: RequestId;
  readonly position: SessionPosition;
  readonly deadlineMs: number;
}

/** Committed writes that wait until a replica has their position. */
export class WriteConfirmations {
  private readonly pending = new Map<RequestId, PendingWrite>();
  private readonly reached = new Map<InstanceId, SessionPosition>();

  /** Whether some write waits. */
  get isWaiting(): boolean {
    return this.pending.size > 0;
  }

  /** Adds a write; true when a replica has it already. */
  add(write: PendingWrite): boolean {
    for (const position of this.reached.values()) {
      if (contains(position, write.position)) {
        return true;
      }
    }
    this.pending.set(write.id, write);
    return false;
  }

  /** Keeps a write without confirming it, until a later term settles it. */
  hold(write: PendingWrite): void {
    this.pending.set(write.id, write);
  }

  /** Returns the writes of earlier terms than the given one. */
  takeBefore(term: Term): readonly PendingWrite[] {
    return this.takeWhere((write) => write.position.term < term);
  }

  /** Notes a replica's position and returns the writes that it confirms. */
  replicaReached(instance: InstanceId, position: SessionPosition): readonly PendingWrite[] {
    this.reached.set(instance, position);
    return this.takeWhere((write) => contains(position, write.position));
  }

  /** Forgets what a replica had, as after its connections broke. */
  forgetReplica(instance: InstanceId): void {
    this.reached.delete(instance);
  }

  /** Returns the writes whose deadline has passed. */
  expire(nowMs: number): readonly PendingWrite[] {
    return this.takeWhere((write) => write.deadlineMs <= nowMs);
  }

  /** Gives up all writes and all knowledge, as when the term ends. */
  clear(): readonly PendingWrite[] {
    this.reached.clear();
    return this.takeWhere(() => true);
  }

  private takeWhere(isWanted: (write: PendingWrite) => boolean): readonly PendingWrite[] {
    const taken: PendingWrite[] = [];
    for (const write of this.pending.values()) {
      if (isWanted(write)) {
        taken.push(write);
        this.pending.delete(write.id);
      }
    }
    return taken;
  }
}

function contains(reached: SessionPosition, wanted: SessionPosition): boolean {
  return reached.term === wanted.term && reached.position >= wanted.position;
}
