import type { RequestId } from '../../common/ids/index.js';
import type { TimerService } from '../../common/timer/index.js';
import { RouteKind, type RouteDecision } from '../../decisions/routing/index.js';
import type { HeldInstance } from './heldInstance.js';
import type { HeldRequest } from './heldRequest.js';

/** Routing and instances of a group, as needed to move its reads. */
export interface ReadTargets {
  route(held: HeldRequest): RouteDecision;
  getInstances(): Iterable<HeldInstance>;
  isPrimary(instance: HeldInstance): boolean;
  /**
   * Whether an instance has a free slot for a read; a primary's last one is reserved for writes.
   */
  hasFreeSlotForRead(instance: HeldInstance): boolean;
}

/** The requests whose reads may be moved between instances. */
export interface MovableReads {
  get(id: RequestId): HeldRequest | undefined;
  enqueue(held: HeldRequest, instance: HeldInstance): void;
}

/**
 * Moves reads that wait for a slot to instances that have a free one. A read is assigned to a queue
 * on arrival, and another replica may have a free slot, or catch up with the log, earlier.
 */
export class ReadRebalancer {
  private isFilling = false;

  constructor(
    private readonly timer: TimerService,
    private readonly targets: ReadTargets,
    private readonly reads: MovableReads,
  ) {}

  /**
   * Fills free slots with reads that wait on other instances and may run there; begins with the
   * instance at which the most urgent request waits.
   */
  fillFreeSlots(): void {
    if (this.isFilling) {
      return; // A request that is refused during a move ends, which calls this method again.
    }
    this.isFilling = true;
    const instances = [...this.targets.getInstances()];
    const waiting = instances
      .filter(({ queue }) => queue.waitingCount > 0)
      .sort((left, right) => left.queue.mostUrgentRank - right.queue.mostUrgentRank);
    for (const instance of waiting) {
      while (this.moveOne(instance, instances)) {
        // Each move removes one request from the queue and fills a free slot.
      }
    }
    this.isFilling = false;
  }

  private moveOne({ queue }: HeldInstance, instances: readonly HeldInstance[]): boolean {
    const free = instances.filter((each) => this.targets.hasFreeSlotForRead(each));
    if (free.length === 0) {
      return false;
    }
    let target: HeldInstance | undefined;
    const id = queue.takeMovable((each) => {
      target = this.findTarget(each, free);
      return target !== undefined;
    }, this.timer.now());
    const held = id && this.reads.get(id);
    if (held === undefined || target === undefined) {
      return false;
    }
    held.moves += 1;
    held.onReplica = !this.targets.isPrimary(target);
    // The read is not routed again: its old queue is now shorter, so it might be moved back
    // forever.
    this.reads.enqueue(held, target);
    return true;
  }

  /**
   * Returns the free instance on which a queued request would start immediately, over an idle
   * connection. Where each connection serves one client account, opening one would occupy the slot
   * for about as long as a read.
   */
  private findTarget(id: RequestId, free: readonly HeldInstance[]): HeldInstance | undefined {
    const held = this.reads.get(id);
    const ready = held && free.filter(({ pool }) => pool.hasIdle(held.request.account));
    if (held === undefined || ready === undefined || ready.length === 0) {
      return undefined;
    }
    const decision = this.targets.route(held);
    return decision.kind === RouteKind.Instance
      ? ready.find((each) => each.id === decision.instance)
      : undefined;
  }
}
