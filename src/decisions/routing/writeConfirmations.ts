import type { InstanceId, RequestId, Term } from '../../common/ids/index.js';
import type { SessionPosition } from '../sessions/index.js';

/** A committed write whose acknowledgement is pending. */
export interface PendingWrite {
  readonly id: RequestId;
  readonly position: SessionPosition;
  readonly deadlineMs: number;
}

/** Committed writes that wait until a replica has reached their position. */
export class WriteConfirmations {
  private readonly pending = new Map<RequestId, PendingWrite>();
  private readonly reached = new Map<InstanceId, SessionPosition>();

  /** Whether any write is waiting. */
  get isWaiting(): boolean {
    return this.pending.size > 0;
  }

  /** Adds a write; returns true, without adding it, if a replica has already reached it. */
  add(write: PendingWrite): boolean {
    for (const position of this.reached.values()) {
      if (contains(position, write.position)) {
        return true;
      }
    }
    this.pending.set(write.id, write);
    return false;
  }

  /** Adds a write without confirming it, until a later term decides its outcome. */
  hold(write: PendingWrite): void {
    this.pending.set(write.id, write);
  }

  /** Removes and returns the writes of terms before the given one. */
  takeBefore(term: Term): readonly PendingWrite[] {
    return this.takeWhere((write) => write.position.term < term);
  }

  /** Records a replica's position; removes and returns the writes that it confirms. */
  recordReplicaPosition(instance: InstanceId, position: SessionPosition): readonly PendingWrite[] {
    this.reached.set(instance, position);
    return this.takeWhere((write) => contains(position, write.position));
  }

  /** Discards the position of a replica, as after its connections broke. */
  forgetReplica(instance: InstanceId): void {
    this.reached.delete(instance);
  }

  /** Removes and returns the writes whose deadline has passed. */
  expire(nowMs: number): readonly PendingWrite[] {
    return this.takeWhere((write) => write.deadlineMs <= nowMs);
  }

  /** Removes and returns all writes and discards all positions, as when the term ends. */
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
