import { toRequestId, type InstanceId, type Term } from '../../../src/common/ids/index.js';
import { WriteConfirmations, type PendingWrite } from '../../../src/decisions/routing/index.js';
import type { SessionPosition } from '../../../src/decisions/sessions/index.js';

/** The writes of a held group that are not acknowledged yet; a write's id is its log entry. */
export class HeldWrites {
  private readonly confirmations = new WriteConfirmations();
  private confirmed: PendingWrite[] = [];

  /** Adds a committed write. */
  add(entry: string, position: SessionPosition, deadlineMs: number): void {
    const write = { id: toRequestId(entry), position, deadlineMs };
    if (this.confirmations.add(write)) {
      this.confirmed.push(write);
    }
  }

  /** Keeps a confirmed write until a later term settles it. */
  hold(write: PendingWrite): void {
    this.confirmations.hold(write);
  }

  replicaReached(instance: InstanceId, position: SessionPosition): void {
    this.confirmed.push(...this.confirmations.recordReplicaPosition(instance, position));
  }

  forgetReplica(instance: InstanceId): void {
    this.confirmations.forgetReplica(instance);
  }

  /** The writes confirmed since the last call. */
  takeConfirmed(): readonly PendingWrite[] {
    return this.confirmed.splice(0);
  }

  /** The writes of earlier terms. */
  takeBefore(term: Term): readonly PendingWrite[] {
    return this.confirmations.takeBefore(term);
  }

  expire(nowMs: number): void {
    this.confirmations.expire(nowMs);
  }
}
