import type { RequestId } from '../../common/ids/index.js';
import type { TimerService } from '../../common/timer/index.js';
import { RouteKind, type RouteDecision } from '../../decisions/routing/index.js';
import type { HeldInstance } from './heldInstance.js';
import type { HeldRequest } from './heldRequest.js';

/** What moving a read needs to know of its group. */
export interface ReadTargets {
  route(held: HeldRequest): RouteDecision;
  getInstances(): Iterable<HeldInstance>;
  isPrimary(instance: HeldInstance): boolean;
  /** Whether an instance has a free slot for a read; the last one of a primary is kept for writes. */
  hasFreeSlotForRead(instance: HeldInstance): boolean;
}

/** The requests among which reads are moved. */
export interface MovableReads {
  get(id: RequestId): HeldRequest | undefined;
  enqueue(held: HeldRequest, instance: HeldInstance): void;
}

/**
 * Moves reads that wait for a slot to instances that have one free: a read is bound to a queue when
 * it comes, and another replica may end its work, or catch up with the log, before that one.
 */
export class ReadRebalancer {
  private isFilling = false;

  constructor(
    private readonly timer: TimerService,
    private readonly targets: ReadTargets,
    private readonly reads: MovableReads,
  ) {}

  /** Fills free slots with what waits elsewhere and may run there. */
  fillFreeSlots(): void {
    if (this.isFilling) {
      return; // What is refused while it moves ends a request, which leads here again.
    }
    this.isFilling = true;
    const instances = [...this.targets.getInstances()];
    for (const instance of instances.filter(({ queue }) => queue.waitingCount > 0)) {
      while (this.moveOne(instance, instances)) {
        // Each move takes one request out of the queue and fills a free slot.
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
    // Not routed again: without it the queue is shorter, and it might be sent back there forever.
    this.reads.enqueue(held, target);
    return true;
  }

  /**
   * The free instance on which a queued request would start at once. Where connections serve one
   * account each, a new one takes a slot for about as long as a read.
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
