import type { InstanceId, RequestId, Term } from '../../common/ids/index.js';
import type { SessionPosition } from '../sessions/index.js';

/** A committed write whose acknowledgement is pending. */
export interface PendingWrite {
  readonly id: RequestId;
  readonly position: SessionPosition;
  readonly deadlineMs: number;
}

/** The instances that must have received a write before it is acknowledged. */
export interface ConfirmationRequirement {
  /** Whether any replica that is not leaving must have it. */
  readonly needsReplica: boolean;
  /** Instances that must all have it. */
  readonly instances: readonly InstanceId[];
}

/** Committed writes that wait until the required replicas have reached their position. */
export class WriteConfirmations {
  private readonly pending = new Map<RequestId, PendingWrite>();
  /** Pending writes that no replica's position confirms any more. */
  private readonly held = new Set<RequestId>();
  private readonly reached = new Map<InstanceId, SessionPosition>();
  private readonly leaving = new Set<InstanceId>();
  private requirement: ConfirmationRequirement = { needsReplica: true, instances: [] };

  /** Whether any write is waiting. */
  get isWaiting(): boolean {
    return this.pending.size > 0;
  }

  /** Sets which instances must have a write; removes and returns the writes confirmed by it. */
  setRequirement(requirement: ConfirmationRequirement): readonly PendingWrite[] {
    this.requirement = requirement;
    return this.takeWhere(({ id, position }) => !this.held.has(id) && this.isConfirmed(position));
  }

  /** Adds a write; returns true, without adding it, if it is already confirmed. */
  add(write: PendingWrite): boolean {
    if (this.isConfirmed(write.position)) {
      return true;
    }
    this.pending.set(write.id, write);
    return false;
  }

  /**
   * Adds a write whose outcome a later term decides. Replicas' positions don't confirm it: it may not
   * be part of that term's history.
   */
  hold(write: PendingWrite): void {
    this.pending.set(write.id, write);
    this.held.add(write.id);
  }

  /** Removes and returns the writes of terms before the given one. */
  takeBefore(term: Term): readonly PendingWrite[] {
    return this.takeWhere((write) => write.position.term < term);
  }

  /** Records a replica's position; removes and returns the writes that it confirms. */
  recordReplicaPosition(
    instance: InstanceId,
    position: SessionPosition,
    isLeaving = false,
  ): readonly PendingWrite[] {
    this.reached.set(instance, position);
    if (isLeaving) {
      this.leaving.add(instance);
    } else {
      this.leaving.delete(instance);
    }
    return this.takeWhere(
      ({ id, position: written }) =>
        !this.held.has(id) && contains(position, written) && this.isConfirmed(written),
    );
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

  private isConfirmed(position: SessionPosition): boolean {
    const { needsReplica, instances } = this.requirement;
    const hasReached = (instance: InstanceId): boolean => {
      const reached = this.reached.get(instance);
      return reached !== undefined && contains(reached, position);
    };
    const replicas = [...this.reached.keys()].filter((each) => !this.leaving.has(each));
    return instances.every(hasReached) && (!needsReplica || replicas.some(hasReached));
  }

  private takeWhere(isWanted: (write: PendingWrite) => boolean): readonly PendingWrite[] {
    const taken: PendingWrite[] = [];
    for (const write of this.pending.values()) {
      if (isWanted(write)) {
        taken.push(write);
        this.pending.delete(write.id);
        this.held.delete(write.id);
      }
    }
    return taken;
  }
}

function contains(reached: SessionPosition, wanted: SessionPosition): boolean {
  return reached.term === wanted.term && reached.position >= wanted.position;
}
