import type { InstanceId } from '../../common/ids/index.js';
import type { TimerService } from '../../common/timer/index.js';
import { PrimaryPhase, type GroupPrimary } from '../../decisions/control/index.js';
import type { GroupRequests } from './groupRequests.js';
import type { GroupWrites } from './groupWrites.js';
import type { HeldInstance } from './heldInstance.js';

const MOVE_GRACE_MS = 2000;

/** Ends the writes at a primary during a planned move, and fences it once none can be lost. */
export class PlannedMove {
  private sinceMs: number | undefined;

  constructor(
    private readonly timer: TimerService,
    private readonly requests: GroupRequests,
    private readonly writes: GroupWrites,
    private readonly getInstance: (id: InstanceId) => HeldInstance | undefined,
  ) {}

  /** During a move, fences the primary once its writes and transactions have ended. */
  check(primary: GroupPrimary | undefined): void {
    if (primary?.phase !== PrimaryPhase.Moving) {
      this.sinceMs = undefined;
      return;
    }
    if (this.writes.isFenced) {
      return;
    }
    const nowMs = this.timer.now();
    if (this.sinceMs === undefined) {
      this.sinceMs = nowMs;
      this.requeue(primary.instance);
    }
    const { transactions } = this.requests;
    const open = transactions.getByInstance(primary.instance);
    if (nowMs - this.sinceMs > MOVE_GRACE_MS) {
      for (const transaction of open) {
        transactions.abort(transaction.id);
      }
    }
    if (open.length === 0 && this.writes.pendingCount === 0 && !this.requests.hasStartedWrites()) {
      this.writes.fence('planned move');
    }
  }

  private requeue(id: InstanceId): void {
    const instance = this.getInstance(id);
    if (instance !== undefined) {
      this.requests.requeue(instance);
    }
  }
}
