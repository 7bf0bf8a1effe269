import { expect, test } from 'vitest';
import {
  toAccountId,
  toHostId,
  toIncarnation,
  toLeaseId,
  toRevision,
  toTicketNumber,
  type LeaseId,
} from '../../common/ids/index.js';
import { Metrics } from '../../common/metrics/index.js';
import {
  DaemonRecords,
  RecordKind,
  type AccountAssignment,
  type ControlRecordValue,
} from '../../decisions/control/index.js';
import {
  GRANT_EXPIRY_MS,
  TokenMessageKind,
  type BucketOutput,
  type Settlement,
  type TokenGrant,
  type TokenRequest,
} from '../../decisions/limits/index.js';
import { SubjectKind } from '../../decisions/tickets/index.js';
import { HolderLease } from '../holder/index.js';
import { HeldAccounts } from './heldAccounts.js';

const mill = toAccountId('mill');
const lease = toLeaseId('life.1');
const host = toHostId('h1');

class FakeLease extends HolderLease {
  override id: LeaseId | undefined = lease;
  override leftMs = 1000;

  override isValid(): boolean {
    return this.leftMs > 0;
  }
}

class Daemon {
  readonly lease = new FakeLease();
  readonly metrics = new Metrics();
  readonly records = new DaemonRecords();
  reports = 0;
  readonly held = new HeldAccounts(this.records, this.lease, this.metrics, () => {
    this.reports += 1;
  });
  private revision = 0;

  setRate(rate: number, nowMs: number): BucketOutput[] {
    const keys = { salt: '', iterations: 1, keys: [], maximumOpenTransactions: 1 };
    const kind = SubjectKind.Account as const;
    const state = { kind, account: mill, rate, burst: 20, ...keys };
    const ticket = toTicketNumber(this.revision + 1);
    return this.apply({ kind: RecordKind.Subject, ticket, state }, nowMs);
  }

  assign(
    draining: boolean,
    nowMs: number,
    to: LeaseId = lease,
    handedOver: Pick<AccountAssignment, 'tokens'> = {},
  ): BucketOutput[] {
    const holder = { host, lease: to, address: 'a' };
    const since = toRevision(1);
    const kind = RecordKind.AccountHolder as const;
    return this.apply({ kind, account: mill, holder, since, draining, ...handedOver }, nowMs);
  }

  request(sequence: number, nowMs: number, settled: readonly Settlement[] = []): TokenGrant[] {
    return getGrants(this.held.receive(createRequest(sequence, settled), nowMs));
  }

  private apply(value: ControlRecordValue, nowMs: number): BucketOutput[] {
    this.revision += 1;
    const revision = toRevision(this.revision);
    const name =
      value.kind === RecordKind.Subject ? `subject/account/${mill}` : `account-holder/${mill}`;
    this.records.applyRecords([{ name, revision, value }], revision);
    return this.held.update(mill, nowMs);
  }
}

function createRequest(sequence: number, settled: readonly Settlement[]): TokenRequest {
  const entry = { entry: toHostId('e'), incarnation: toIncarnation('e#1') };
  const need = { head: 1, urgent: 1, wanted: 1, demand: 1 };
  const kind = TokenMessageKind.Request as const;
  return { kind, account: mill, ...entry, lease, sequence, ...need, settled };
}

function getGrants(outputs: readonly BucketOutput[]): TokenGrant[] {
  return outputs
    .map(({ message }) => message)
    .filter((message) => message.kind === TokenMessageKind.Grant);
}

function createDaemon(): Daemon {
  const daemon = new Daemon();
  daemon.setRate(100, 0);
  return daemon;
}

test('the first holder of an account grants a token as soon as the rate provides one', () => {
  const daemon = createDaemon();
  daemon.assign(false, 0);
  expect(daemon.request(1, 1)).toEqual([]);
  expect(getGrants(daemon.held.tick(15))).toMatchObject([{ sequence: 1, amount: 1 }]);
});

test('a request that arrives before the assignment is answered after the assignment', () => {
  const daemon = createDaemon();
  expect(daemon.request(1, 0)).toEqual([]);
  daemon.assign(false, 5);
  expect(getGrants(daemon.held.tick(20))).toMatchObject([{ sequence: 1 }]);
});

test('a grant expires before the present lease of the holder does', () => {
  const daemon = createDaemon();
  daemon.assign(false, 0);
  daemon.lease.leftMs = 100;
  const [short] = daemon.request(1, 500);
  expect(short?.validityMs).toBeCloseTo((100 * 0.99) / 1.01);
  daemon.lease.leftMs = 1000;
  expect(daemon.request(2, 520)).toMatchObject([{ validityMs: 300 }]);
  daemon.lease.leftMs = 0;
  expect(daemon.request(3, 540)).toEqual([]);
});

test('a draining account grants up to a fixed time, then is released and reported once', () => {
  const daemon = createDaemon();
  daemon.assign(false, 0);
  expect(daemon.request(1, 500)).toHaveLength(1);
  daemon.assign(true, 510);
  const [last] = daemon.request(2, 700);
  expect(700 + (last?.validityMs ?? 0)).toBeLessThan(510 + GRANT_EXPIRY_MS);
  daemon.held.tick(510 + GRANT_EXPIRY_MS - 1);
  expect(daemon.held.releasedAccounts).toEqual([]);
  daemon.held.tick(510 + GRANT_EXPIRY_MS);
  expect(daemon.held.releasedAccounts).toEqual([mill]);
  expect(daemon.request(3, 900)).toEqual([]);
  expect(daemon.held.count).toBe(1);
  expect(daemon.reports).toBe(1);
  daemon.assign(false, 920, toLeaseId('other.1'));
  expect(daemon.held.count).toBe(0);
});

test('a draining account is released as soon as every grant is settled', () => {
  const daemon = createDaemon();
  daemon.assign(false, 0);
  daemon.request(1, 500);
  daemon.assign(true, 510);
  const kind = TokenMessageKind.Return as const;
  const { entry, incarnation } = createRequest(0, []);
  const settled = [{ sequence: 1, used: 0 }];
  daemon.held.receive({ kind, account: mill, entry, incarnation, lease, settled }, 512);
  daemon.held.tick(515);
  expect(daemon.held.releasedAccounts).toEqual([mill]);
});

test('no account of an earlier lease is held under a new one', () => {
  const daemon = createDaemon();
  daemon.assign(false, 0);
  daemon.lease.id = toLeaseId('life.2');
  daemon.held.observeLease();
  expect(daemon.held.count).toBe(0);
  expect(daemon.request(1, 500)).toEqual([]);
});

test('tokens granted and returned are counted', async () => {
  const daemon = createDaemon();
  daemon.assign(false, 0);
  daemon.request(1, 500);
  daemon.request(2, 510, [{ sequence: 1, used: 0 }]);
  const lines = (await daemon.metrics.registry.metrics()).split('\n');
  expect(lines.filter((line) => /tokens_(granted|returned)_total\{/.test(line))).toEqual([
    expect.stringMatching(/tokens_granted_total\{account="mill"\} 2$/),
    expect.stringMatching(/tokens_returned_total\{account="mill"\} 1$/),
  ]);
});

test('the tokens of an account are handed over in a planned move', () => {
  const daemon = createDaemon();
  daemon.assign(false, 0);
  daemon.assign(true, 100);
  daemon.held.tick(100);
  const { [mill]: tokens = 0 } = daemon.held.releasedTokens;
  expect(tokens).toBeCloseTo(10, 0);
  const next = createDaemon();
  next.assign(false, 100, lease, { tokens });
  expect(next.request(1, 101)).toMatchObject([{ sequence: 1 }]);
});

test('tokens handed over are used once, even if the lease is briefly invalid in the meantime', () => {
  const daemon = createDaemon();
  daemon.assign(false, 0, lease, { tokens: 10 });
  daemon.lease.leftMs = 0;
  daemon.held.tick(1);
  daemon.lease.leftMs = 1000;
  daemon.assign(false, 2, lease, { tokens: 10 });
  expect(daemon.request(1, 3)).toEqual([]);
});

test('a holder that drains before its first grant releases the tokens of its assignment', () => {
  const daemon = createDaemon();
  daemon.assign(true, 0, lease, { tokens: 10 });
  expect(daemon.held.releasedTokens).toEqual({ [mill]: 10 });
});
