import type { Term } from '../../../common/ids/index.js';
import type { GroupView } from '../../promotion/index.js';
import { getTracker, type LeaderContext } from './leaderContext.js';

/**
 * Decides which promotion orders will not be carried out any more. Matters only where the platform
 * does not check fencing tokens: elsewhere a later order voids the earlier ones.
 */
export class OrderSettlement {
  constructor(private readonly context: LeaderContext) {}

  /**
   * The present term if this leader began its promotion, so that no other leader sent an order for
   * it, and the platform answered every order that this leader sent.
   */
  getSettledTerms({ group, primary }: GroupView): readonly Term[] {
    const { begunTerm, order } = getTracker(this.context, group);
    const term = primary?.unsettled?.at(-1)?.term;
    if (term === undefined || term !== primary?.term || term !== begunTerm) {
      return [];
    }
    return order?.term === term && order.unsettledCount > 0 ? [] : [term];
  }

  /**
   * The terms whose orders this leader has known for longer than an order lives, and those of
   * instances that are gone.
   */
  getExpiredTerms({ group, primary, instances, nowMs }: GroupView): readonly Term[] {
    const { state, settings } = this.context;
    const { orderSinceMs } = getTracker(this.context, group);
    const unsettled = primary?.unsettled ?? [];
    for (const { term } of unsettled) {
      if (!orderSinceMs.has(term)) {
        orderSinceMs.set(term, nowMs);
      }
    }
    for (const term of [...orderSinceMs.keys()]) {
      if (!unsettled.some((each) => each.term === term)) {
        orderSinceMs.delete(term);
      }
    }
    const isExpired = (term: Term): boolean =>
      // The order of the present promotion may be repeated at any time.
      term !== this.getPromotingTerm(primary) &&
      nowMs - (orderSinceMs.get(term) ?? nowMs) >= settings.promotion.orderLifetimeMs;
    return unsettled
      .filter(
        ({ term, instance }) =>
          isExpired(term) ||
          (state.getInstance(group, instance)?.gone === true &&
            !instances.some((each) => each.instance === instance)),
      )
      .map(({ term }) => term);
  }

  private getPromotingTerm(primary: GroupView['primary']): Term | undefined {
    return primary?.base === undefined ? undefined : primary.term;
  }
}
