import { createFault, Diagnostics, type Fault } from '../../src/common/diagnostics/index.js';
import type { TimerService } from '../../src/common/timer/index.js';
import type { TermStart } from '../log/index.js';
import type { StandinSettings } from '../settings/index.js';
import type { Engine } from './engine.js';
import type { Faults } from './faults.js';
import type { PromotionOrder } from './promotionOrder.js';

/** What promotions need. */
export interface PromotionParts {
  readonly settings: StandinSettings;
  readonly engine: Engine;
  readonly faults: Faults;
  readonly timer: TimerService;
  readonly isServing: () => boolean;
  /** Called before the instance becomes the primary of a new term. */
  readonly prepare: () => void;
  /** Called after the instance became the primary of a new term. */
  readonly promoted: (start: TermStart) => void;
}

/** Carries out the platform's orders to promote this instance. */
export class Promotion {
  constructor(private readonly parts: PromotionParts) {}

  /**
   * Promotes the instance; an order for the term that it already leads gets the same answer.
   * No answer is given where the set fault says so.
   */
  async carryOut(order: PromotionOrder): Promise<TermStart | undefined> {
    const start = this.tryFindCarriedOut(order) ?? this.promote(order);
    const { promoteFault, promoteDelayMs } = this.parts.faults;
    switch (promoteFault) {
      case 'none':
        return start;
      case 'error':
        throw createFault(
          Diagnostics.PlatformFault,
          { term: order.term },
          { step: 'standin.promote' },
        );
      case 'late':
        await new Promise<void>((resolve) => {
          this.parts.timer.once(promoteDelayMs, () => resolve());
        });
        return start;
      case 'lost':
        return undefined;
    }
  }

  private tryFindCarriedOut({ term }: PromotionOrder): TermStart | undefined {
    const { engine } = this.parts;
    const last = engine.log.history.at(-1);
    return !engine.isReplica && last?.term === term ? last : undefined;
  }

  private promote(order: PromotionOrder): TermStart {
    const reason = this.findObstacle(order);
    if (reason !== undefined) {
      throw refuse(order, reason);
    }
    this.parts.prepare();
    const start = this.parts.engine.promote(order.term);
    this.parts.promoted(start);
    return start;
  }

  private findObstacle({ group, instance, term }: PromotionOrder): string | undefined {
    const { settings, engine, isServing } = this.parts;
    if (group !== settings.group || instance !== settings.instance) {
      return `this is instance ${settings.instance} of group ${settings.group}`;
    }
    if (!isServing()) {
      return 'the instance has not copied its group yet';
    }
    const { highestTerm } = engine.log;
    return term <= highestTerm ? `term ${highestTerm} has begun` : undefined;
  }
}

function refuse({ term }: PromotionOrder, reason: string): Fault {
  return createFault(Diagnostics.PromotionRefused, { term, reason }, { step: 'standin.promote' });
}
