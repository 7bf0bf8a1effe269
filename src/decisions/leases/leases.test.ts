import * as fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  toFailureDomain,
  toHostId,
  toIncarnation,
  toLeaseId,
  toRevision,
} from '../../common/ids/index.js';
import type { LeaseGrant, LeaseRenewal } from '../control/index.js';
import {
  DaemonLeases,
  DEFAULT_LEASE_TERMS,
  GrantEffect,
  HeldLease,
  RenewalOutcome,
} from './index.js';

const LEASE = toLeaseId('l1');
const LENGTH_MS = DEFAULT_LEASE_TERMS.lengthMs;
const NONE = toRevision(0);

function createGrant(sequence: number, change: Partial<LeaseGrant> = {}): LeaseGrant {
  const revision = toRevision(0);
  return {
    ...{ lease: LEASE, sequence, lengthMs: LENGTH_MS, retired: false, revision, records: [] },
    ...change,
  };
}

function createRenewal(sequence: number, change: Partial<LeaseRenewal> = {}): LeaseRenewal {
  return {
    host: toHostId('h1'),
    incarnation: toIncarnation('h1-1'),
    lease: LEASE,
    domain: toFailureDomain('d1'),
    address: '127.0.0.1:1',
    ...{ sequence, answered: 0, sinceAnsweredMs: 0, revision: toRevision(0) },
    ...{ announcements: [], reports: [], releasedGroups: [], releasedAccounts: [] },
    stopping: false,
    ...change,
  };
}

test('a lease carries the link bandwidth that its renewals report', () => {
  const leases = new DaemonLeases(DEFAULT_LEASE_TERMS);
  leases.begin([], toRevision(0), 0);
  leases.renew(createRenewal(1), false, true, 0);
  expect(leases.get(LEASE)).not.toHaveProperty('linkBytesPerSecond');
  leases.renew(createRenewal(2, { linkBytesPerSecond: 250_000 }), false, true, 1);
  expect(leases.get(LEASE)?.linkBytesPerSecond).toBe(250_000);
});

test('the length of a lease counts from before its renewal was sent', () => {
  const held = new HeldLease(LEASE);
  const { sequence } = held.beginRenewal(100);
  expect(held.isValid(100)).toBe(false);
  expect(held.receiveGrant(createGrant(sequence), NONE, 700)).toBe(GrantEffect.Extended);
  expect(held.isValid(100 + LENGTH_MS - 1)).toBe(true);
  expect(held.isValid(100 + LENGTH_MS)).toBe(false);
});

test('delayed or repeated answers, and answers for another lease, change nothing', () => {
  const held = new HeldLease(LEASE);
  const first = held.beginRenewal(0);
  const second = held.beginRenewal(500);
  expect(held.receiveGrant(createGrant(second.sequence), NONE, 510)).toBe(GrantEffect.Extended);
  expect(held.receiveGrant(createGrant(first.sequence), NONE, 520)).toBe(GrantEffect.Ignored);
  expect(held.receiveGrant(createGrant(second.sequence), NONE, 530)).toBe(GrantEffect.Ignored);
  expect(held.receiveGrant(createGrant(99), NONE, 540)).toBe(GrantEffect.Ignored);
  const otherGrant = createGrant(1, { lease: toLeaseId('other') });
  expect(held.receiveGrant(otherGrant, NONE, 550)).toBe(GrantEffect.Ignored);
  expect(held.getRemainingMs(550)).toBe(500 + LENGTH_MS - 550);
});

test('an expired lease is not extended by a later answer', () => {
  const held = new HeldLease(LEASE);
  held.receiveGrant(createGrant(held.beginRenewal(0).sequence), NONE, 10);
  const renewal = held.beginRenewal(LENGTH_MS - 10);
  expect(held.receiveGrant(createGrant(renewal.sequence), NONE, LENGTH_MS)).toBe(
    GrantEffect.Ignored,
  );
  expect(held.isOver(LENGTH_MS)).toBe(true);
});

test('a first answer that arrives after the full length of the lease grants nothing', () => {
  const held = new HeldLease(LEASE);
  const { sequence } = held.beginRenewal(0);
  expect(held.receiveGrant(createGrant(sequence), NONE, LENGTH_MS)).toBe(GrantEffect.Ignored);
  expect(held.isValid(LENGTH_MS)).toBe(false);
});

test('a refusal leaves the lease as it was, a retirement ends it', () => {
  const held = new HeldLease(LEASE);
  held.receiveGrant(createGrant(held.beginRenewal(0).sequence), NONE, 10);
  const refused = createGrant(held.beginRenewal(20).sequence, { lengthMs: 0 });
  expect(held.receiveGrant(refused, NONE, 30)).toBe(GrantEffect.Refused);
  expect(held.isValid(40)).toBe(true);
  const retired = createGrant(held.beginRenewal(50).sequence, { lengthMs: 0, retired: true });
  expect(held.receiveGrant(retired, NONE, 60)).toBe(GrantEffect.Ended);
  expect(held.isValid(60)).toBe(false);
});

test('a renewal states which answer arrived last and how long ago', () => {
  const held = new HeldLease(LEASE);
  held.beginRenewal(0);
  expect(held.beginRenewal(100)).toEqual({ sequence: 2, answered: 0, sinceAnsweredMs: 100 });
  held.receiveGrant(createGrant(2), NONE, 140);
  held.receiveGrant(createGrant(1), NONE, 150);
  expect(held.beginRenewal(200)).toEqual({ sequence: 3, answered: 2, sinceAnsweredMs: 60 });
});

test('under clock drift, the granter never counts a lease as over before its holder does', () => {
  const rates = fc.double({ min: 0.9951, max: 1.0049, noNaN: true });
  const delays = fc.integer({ min: 0, max: 5000 });
  const property = fc.property(
    rates,
    rates,
    delays,
    delays,
    (holderRate, granterRate, requestDelayMs, answerDelayMs) => {
      const held = new HeldLease(LEASE);
      const leases = new DaemonLeases(DEFAULT_LEASE_TERMS);
      leases.begin([], toRevision(0), 0);
      const { sequence } = held.beginRenewal(1000 * holderRate);
      leases.renew(createRenewal(sequence), false, true, (1000 + requestDelayMs) * granterRate);
      held.receiveGrant(
        createGrant(sequence),
        NONE,
        (1000 + requestDelayMs + answerDelayMs) * holderRate,
      );
      for (let atMs = 1000; atMs < 9000; atMs += 7) {
        const isOver = leases.takeExpired(atMs * granterRate).length > 0;
        const isHeld = held.isValid(atMs * holderRate);
        expect(isOver && isHeld).toBe(false);
        if (isOver) {
          return;
        }
      }
    },
  );
  fc.assert(property, { seed: 20261204, numRuns: 500 });
});

test('a lease that expired at the leader is never renewed', () => {
  const leases = new DaemonLeases(DEFAULT_LEASE_TERMS);
  leases.begin([], toRevision(0), 0);
  expect(leases.renew(createRenewal(1), false, true, 0)).toBe(RenewalOutcome.Granted);
  const endMs = LENGTH_MS * (1 + DEFAULT_LEASE_TERMS.driftBound);
  expect(leases.renew(createRenewal(2), false, true, endMs)).toBe(RenewalOutcome.Retired);
  expect(leases.takeExpired(endMs).map((lease) => lease.lease)).toEqual([LEASE]);
  expect(leases.takeExpired(endMs)).toEqual([]);
  expect(leases.renew(createRenewal(3), false, true, endMs + 1)).toBe(RenewalOutcome.Retired);
  leases.forget(LEASE);
  expect(leases.renew(createRenewal(4), true, true, endMs + 2)).toBe(RenewalOutcome.Retired);
});

test('a repeated or delayed renewal extends no lease, and a leader whose own lease is not valid grants none', () => {
  const leases = new DaemonLeases(DEFAULT_LEASE_TERMS);
  leases.begin([], toRevision(0), 0);
  expect(leases.renew(createRenewal(5), false, true, 0)).toBe(RenewalOutcome.Granted);
  const before = leases.get(LEASE)?.expiryMs;
  expect(leases.renew(createRenewal(5), false, true, 500)).toBe(RenewalOutcome.Stale);
  expect(leases.renew(createRenewal(4), false, true, 500)).toBe(RenewalOutcome.Stale);
  expect(leases.renew(createRenewal(6), false, false, 500)).toBe(RenewalOutcome.NotLeader);
  expect(leases.get(LEASE)?.expiryMs).toBe(before);
});

test('a daemon that does not apply a change is granted nothing more once the time to apply it is over', () => {
  const leases = new DaemonLeases(DEFAULT_LEASE_TERMS);
  leases.begin([], toRevision(0), 0);
  const committedMs = 1000;
  let lastGrantMs = 0;
  let sequence = 0;
  leases.noteCommit(toRevision(1), committedMs);
  for (let atMs = 0; atMs < 8000; atMs += 100) {
    sequence++;
    if (leases.renew(createRenewal(sequence), false, true, atMs) === RenewalOutcome.Granted) {
      lastGrantMs = atMs;
    }
  }
  expect(lastGrantMs).toBeGreaterThan(committedMs);
  expect(lastGrantMs).toBeLessThan(committedMs + DEFAULT_LEASE_TERMS.applyTimeoutMs);
  const current = createRenewal(1, { lease: toLeaseId('l2'), revision: toRevision(1) });
  expect(leases.renew(current, false, true, 8000)).toBe(RenewalOutcome.Granted);
});

test('a new leader grants the first renewal of a daemon that lacks records, and no late one', () => {
  const leases = new DaemonLeases(DEFAULT_LEASE_TERMS);
  leases.begin([], toRevision(9), 0);
  const { applyTimeoutMs } = DEFAULT_LEASE_TERMS;
  expect(leases.renew(createRenewal(1), false, true, 1)).toBe(RenewalOutcome.Granted);
  const behind = createRenewal(2, { lease: toLeaseId('l2') });
  expect(leases.renew(behind, false, true, applyTimeoutMs)).toBe(RenewalOutcome.Outdated);
  const current = createRenewal(3, { lease: toLeaseId('l2'), revision: toRevision(9) });
  expect(leases.renew(current, false, true, applyTimeoutMs)).toBe(RenewalOutcome.Granted);
});

test('an answer extends the lease only of a daemon that has applied every change before it', () => {
  const held = new HeldLease(LEASE);
  const revision = toRevision(9);
  const first = createGrant(held.beginRenewal(0).sequence, { revision });
  expect(held.receiveGrant(first, toRevision(8), 10)).toBe(GrantEffect.Refused);
  expect(held.isValid(10)).toBe(false);
  const second = createGrant(held.beginRenewal(20).sequence, { revision });
  expect(held.receiveGrant(second, revision, 30)).toBe(GrantEffect.Extended);
  const third = createGrant(held.beginRenewal(400).sequence, { revision: toRevision(10) });
  expect(held.receiveGrant(third, revision, 410)).toBe(GrantEffect.Refused);
  expect(held.getRemainingMs(410)).toBe(20 + LENGTH_MS - 410);
});
