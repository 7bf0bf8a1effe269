import { expect, test } from 'vitest';
import {
  DEFAULT_PROMOTION_SETTINGS,
  PromotionRules,
  type GroupView,
  type PromotionDecision,
} from '../../src/decisions/promotion/index.js';
import { exploreAll, exploreRandomly } from './exploreWorlds.js';
import { PromotionModel } from './promotionModel.js';
import type { PromotionModelOptions } from './promotionWorld.js';

const SEED = 20261205;
const STEPS = 18;
const settings = { ...DEFAULT_PROMOTION_SETTINGS, adoptsOrders: false };

test.each([
  ['with fenced orders', true],
  ['with unfenced orders', false],
])('no world %s loses an acknowledged write', (_name, hasFencedOrders) => {
  const model = new PromotionModel({ hasFencedOrders, maximumWrites: 2 });
  expect(exploreAll(model, 3).violation).toBeUndefined();
  expect(exploreRandomly(model, SEED, 500, STEPS).violation).toBeUndefined();
});

/** Rules that no longer consider logs which left with their instances. */
class ForgottenDepartures extends PromotionRules {
  override decide(view: GroupView): PromotionDecision {
    return super.decide({ ...view, departed: [] });
  }
}

/** Rules that leave out leaving instances although the primary counts them. */
class ExcludedLeavers extends PromotionRules {
  protected override isExcludedFromAcknowledgements(
    ...[, , instance]: Parameters<PromotionRules['isExcludedFromAcknowledgements']>
  ): boolean {
    return instance.leaving;
  }
}

/** Rules that take the position of an instance that restarted empty as known. */
class TrustedRestarts extends PromotionRules {
  protected override mayHaveLostLog(): boolean {
    return false;
  }
}

/** A model whose holder acknowledges without the instances that unsettled orders name. */
class IgnoredOrders extends PromotionModel {
  protected override getRequired(): readonly number[] {
    return [];
  }
}

function findViolation(model: PromotionModel): string {
  return exploreRandomly(model, SEED, 20_000, STEPS).violation?.promise ?? 'none';
}

const fenced: PromotionModelOptions = { hasFencedOrders: true, maximumWrites: 2 };

test.each([
  ['departed logs are forgotten', ForgottenDepartures],
  ['leaving replicas do not count', ExcludedLeavers],
  ['emptied replicas count', TrustedRestarts],
])('the model finds the lost write if %s', (_name, Rules) => {
  expect(findViolation(new PromotionModel(fenced, new Rules(settings)))).toMatch(
    /is not in the log/,
  );
});

test('the model finds a write that a late order loses if it was acknowledged without its instance', () => {
  const model = new IgnoredOrders({ ...fenced, hasFencedOrders: false });
  expect(findViolation(model)).toMatch(/is not in the log|at an old primary/);
});
