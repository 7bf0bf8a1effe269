import * as fc from 'fast-check';
import { expect, test } from 'vitest';
import { toLogPosition, type LogPosition } from '../../../common/ids/index.js';
import { DaemonLeases, HeldLease } from '../../leases/index.js';
import { PromotionRules, type Fence, type GroupView } from '../../promotion/index.js';
import { AssignmentRegistry, ControlState, type Holder } from '../index.js';
import type { ControlSettings } from './controlSettings.js';
import { GroupPlacement } from './groupPlacement.js';
import {
  DEFAULT_FLEET_OPTIONS,
  FakeFleet,
  FaultDriver,
  fleetFaults,
  type FleetOptions,
} from '../../../../tests/support/fleet/index.js';
import { DEFAULT_LEASE_TERMS } from '../../leases/leaseTerms.js';

const SEED = 20261204;
const MAXIMUM_RUNS = 400;

/** Runs random faults against a broken variant and returns the invariant that it violates. */
function findViolation(variant: Partial<FleetOptions>): string {
  const property = fc.property(fc.nat(), fleetFaults, (seed, faults) => {
    const network = { loss: 0.02, duplication: 0.02, lateness: 0.02 };
    const fleet = new FakeFleet({ ...DEFAULT_FLEET_OPTIONS, network, ...variant, seed });
    fleet.run(2000);
    new FaultDriver(fleet).run(faults);
    fleet.run(3000);
  });
  const details = fc.check(property, { seed: SEED, numRuns: MAXIMUM_RUNS, endOnFailure: true });
  const { errorInstance } = details;
  return errorInstance instanceof Error ? errorInstance.message : 'none';
}

const HOLDER_VIOLATIONS = /one holder at a time|only the holder acknowledges|under an old term/;

test('the checks find a holder that counts its lease from receipt of the grant', () => {
  class CountedFromReceipt extends HeldLease {
    protected override getStartMs(_sentAtMs: number, receivedAtMs: number): number {
      return receivedAtMs;
    }
  }
  const found = findViolation({ createHeldLease: (id) => new CountedFromReceipt(id) });
  expect(found).toMatch(HOLDER_VIOLATIONS);
});

test('the checks find a new leader that does not wait for the leases of the earlier one', () => {
  class NoWait extends DaemonLeases {
    protected override getWaitMs(): number {
      return 0;
    }
  }
  const createLeases = (settings: ControlSettings) => new NoWait(settings.lease);
  expect(findViolation({ leaderParts: { createLeases } })).toMatch(HOLDER_VIOLATIONS);
});

test('the checks find a granter that counts a shorter lease than the holder', () => {
  class ShorterExpiry extends DaemonLeases {
    protected override getExpiryMs(nowMs: number): number {
      return nowMs + DEFAULT_LEASE_TERMS.lengthMs * 0.75;
    }
  }
  const createLeases = (settings: ControlSettings) => new ShorterExpiry(settings.lease);
  expect(findViolation({ leaderParts: { createLeases } })).toMatch(HOLDER_VIOLATIONS);
});

test('the checks find a daemon that extends its lease without having applied all changes', () => {
  class ExtendsBehind extends HeldLease {
    protected override isCurrent(): boolean {
      return true;
    }
  }
  const found = findViolation({ createHeldLease: (id) => new ExtendsBehind(id) });
  expect(found).toMatch(/in force on every daemon/);
});

test('the checks find a group that is reassigned before its lease is retired', () => {
  class AssignsBeforeRetirement extends GroupPlacement {
    protected override isHeld(holder: Holder): boolean {
      return this.context.leases.get(holder.lease)?.isLive === true;
    }
  }
  class OverwritingRegistry extends AssignmentRegistry {
    protected override isFree(): boolean {
      return true;
    }
  }
  const found = findViolation({
    leaderParts: { createGroupPlacement: (context) => new AssignsBeforeRetirement(context) },
    createState: () =>
      new ControlState({ createAssignments: (records) => new OverwritingRegistry(records) }),
  });
  expect(found).toMatch(HOLDER_VIOLATIONS);
});

test('the checks find a promotion before the lease of the holder ran out', () => {
  class EarlyFence extends PromotionRules {
    protected override findFence(view: GroupView): Fence {
      return { atMs: view.nowMs - 1000, isReported: true };
    }
  }
  const createRules = (settings: ControlSettings) => new EarlyFence(settings.promotion);
  const found = findViolation({ leaderParts: { createRules } });
  expect(found).toMatch(/under an old term|acknowledged write is lost/);
});

test('the checks find a promotion that requires no log position', () => {
  class NoRequiredPosition extends PromotionRules {
    protected override findRequired(): LogPosition {
      return toLogPosition(0);
    }
  }
  const createRules = (settings: ControlSettings) => new NoRequiredPosition(settings.promotion);
  expect(findViolation({ leaderParts: { createRules } })).toMatch(/acknowledged write is lost/);
});
