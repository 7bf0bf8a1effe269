import * as fc from 'fast-check';
import { expect, test } from 'vitest';
import type { FailureDomain, HostId } from '../../../common/ids/index.js';
import { DaemonLeases } from '../../leases/index.js';
import { SubjectKind } from '../../tickets/index.js';
import type { Holder } from '../holder.js';
import type { ControlLeaderParts } from './controlLeader.js';
import { needsReaders } from './needsReaders.js';
import type { ControlSettings } from './controlSettings.js';
import type { LeaderContext } from './leaderContext.js';
import { ReaderPlacement } from './readerPlacement.js';
import {
  NARROW_BYTES_PER_SECOND,
  ReaderChecks,
  ReaderFleet,
} from '../../../../tests/support/fleet/index.js';

const RUNS = Number(process.env.FLEET_RUNS ?? 100);
const SEED = Number(process.env.FLEET_SEED ?? 20261205);
const WIDE_BYTES_PER_SECOND = 125_000_000;
const SETTLE_MS = 6000;

enum EventKind {
  Lose = 'lose',
  Return = 'return',
  Stop = 'stop',
  DomainOut = 'domain-out',
  DomainBack = 'domain-back',
  Promote = 'promote',
  Leaving = 'leaving',
  Staying = 'staying',
  NewLeader = 'new-leader',
}

interface FleetEvent {
  readonly kind: EventKind;
  readonly target: number;
  readonly restMs: number;
}

const linkRate = fc.oneof(
  { weight: 6, arbitrary: fc.constant(NARROW_BYTES_PER_SECOND) },
  { weight: 1, arbitrary: fc.constantFrom(WIDE_BYTES_PER_SECOND, undefined) },
);
const fleets = fc.record({
  links: fc.oneof(
    fc.array(fc.constant(NARROW_BYTES_PER_SECOND), { minLength: 2, maxLength: 10 }),
    fc.array(linkRate, { minLength: 2, maxLength: 10 }),
  ),
  groups: fc.integer({ min: 1, max: 3 }),
  domains: fc.integer({ min: 1, max: 3 }),
});
/** Fleets in which no reader's host can come to hold another group. */
const singleGroupFleets = fleets.map((size) => ({ ...size, groups: 1 }));
const events: fc.Arbitrary<FleetEvent[]> = fc.array(
  fc.record({
    kind: fc.constantFrom(...Object.values(EventKind)),
    target: fc.nat(30),
    restMs: fc.constantFrom(50, 300, 1000, SETTLE_MS),
  }),
  { maxLength: 12 },
);

function pick<Item>(items: readonly Item[], index: number): Item {
  return items[index % items.length] as Item;
}

function applyEvent(fleet: ReaderFleet, { kind, target }: FleetEvent): void {
  const host = pick(fleet.hosts, target);
  const group = pick(fleet.groups, target);
  switch (kind) {
    case EventKind.Lose:
      host.isAlive = false;
      break;
    case EventKind.Return:
      fleet.restart(host);
      break;
    case EventKind.Stop:
      host.isStopping = true;
      break;
    case EventKind.DomainOut:
    case EventKind.DomainBack: {
      const domain = pick(fleet.domains, target);
      const inService = kind === EventKind.DomainBack;
      fleet.submit({ kind: SubjectKind.FailureDomain, domain, inService });
      break;
    }
    case EventKind.Promote:
      fleet.promote(group, target);
      break;
    case EventKind.Leaving:
    case EventKind.Staying: {
      const instance = pick(fleet.getInstances(group), target >> 2);
      fleet.setLeaving(group, instance, kind === EventKind.Leaving);
      break;
    }
    case EventKind.NewLeader:
      fleet.changeLeader();
      break;
  }
  fleet.lastCauseMs = fleet.nowMs;
}

function createProperty(leaderParts: ControlLeaderParts, sizes = fleets) {
  return fc.property(sizes, events, (options, sequence) => {
    const fleet = new ReaderFleet({ ...options, leaderParts });
    const checks = new ReaderChecks(fleet);
    const check = () => checks.check();
    fleet.run(SETTLE_MS, check);
    for (const event of sequence) {
      applyEvent(fleet, event);
      fleet.run(event.restMs, check);
    }
    fleet.run(SETTLE_MS, check);
  });
}

test('readers are assigned for narrow links if hosts are spare, and move only after another change', () => {
  fc.assert(createProperty({}), { seed: SEED, numRuns: RUNS });
});

type Variant = new (context: LeaderContext) => ReaderPlacement;

function findViolation(leaderParts: ControlLeaderParts, sizes = fleets): string {
  const property = createProperty(leaderParts, sizes);
  const details = fc.check(property, { seed: SEED, numRuns: 400, endOnFailure: true });
  const { errorInstance } = details;
  return errorInstance instanceof Error ? errorInstance.message : 'none';
}

function findPlacementViolation(variant: Variant, sizes = fleets): string {
  return findViolation({ createReaderPlacement: (context) => new variant(context) }, sizes);
}

test('the checks find readers that stay on leaving hosts', () => {
  class NeverLeaving extends ReaderPlacement {
    protected override mustBeRemoved(reader: Holder, holder: HostId | undefined): boolean {
      return reader.host === holder;
    }
  }
  expect(findPlacementViolation(NeverLeaving)).toMatch(/leaving host reads/);
});

test('the checks find a holder that reads a replica of its own group', () => {
  class OnHolder extends ReaderPlacement {
    protected override mustBeRemoved(reader: Holder): boolean {
      return super.mustBeRemoved(reader, undefined);
    }
    protected override mayMove(): boolean {
      return false;
    }
  }
  expect(findPlacementViolation(OnHolder, singleGroupFleets)).toMatch(/: holder reads/);
});

test('the checks find readers on hosts whose lease ran out', () => {
  class LateExpiry extends DaemonLeases {
    protected override getExpiryMs(nowMs: number): number {
      return super.getExpiryMs(nowMs) + 1000;
    }
  }
  const createLeases = (settings: ControlSettings) => new LateExpiry(settings.lease);
  expect(findViolation({ createLeases })).toMatch(/lost host reads/);
});

test('the checks find readers assigned to hosts that hold groups', () => {
  class AnyHost extends ReaderPlacement {
    protected override choose(near: FailureDomain): HostId | undefined {
      return this.context.leases.getLive().find((lease) => lease.domain === near)?.host;
    }
  }
  expect(findPlacementViolation(AnyHost)).toMatch(/holder of another group reads|: holder reads/);
});

test('the checks find readers for holders with wide or unknown links', () => {
  class AnyLink extends ReaderPlacement {
    protected override needsReaders(): boolean {
      return true;
    }
  }
  expect(findPlacementViolation(AnyLink)).toMatch(/beside a wide link/);
});

test('the checks find replicas left without a reader when a host becomes spare', () => {
  class NeverRequeued extends ReaderPlacement {
    override requeueLackingGroups(): void {
      this.groupsLackingReaders.clear();
    }
    protected override mayMove(): boolean {
      return false;
    }
  }
  expect(findPlacementViolation(NeverRequeued, singleGroupFleets)).toMatch(/no reader of/);
});

test('the checks find readers that move although nothing else changed', () => {
  class MovesWithoutCause extends ReaderPlacement {
    protected override mayMove(): boolean {
      return this.context.spareHosts.size > 0;
    }
  }
  expect(findPlacementViolation(MovesWithoutCause)).toMatch(/without a cause/);
});

test.each([
  [18, 250_000, true],
  [18, 125_000_000, false],
  [18, undefined, false],
  [0, 250_000, false],
  [4, 250_000, false],
])('%s slots behind a link of %s bytes per second need readers: %s', (slots, bytes, expected) => {
  expect(needsReaders([{ slots }], bytes)).toBe(expected);
});
