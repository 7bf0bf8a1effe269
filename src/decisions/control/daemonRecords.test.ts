import { expect, test } from 'vitest';
import {
  toAccountId,
  toFailureDomain,
  toGroupId,
  toInstanceId,
  toRevision,
  toTicketNumber,
} from '../../common/ids/index.js';
import { Acknowledgement, SubjectKind, type SubjectState } from '../tickets/index.js';
import { DaemonRecords, RecordKind, type ControlRecord, type ControlRecordValue } from './index.js';
import { getRecordName } from './recordNames.js';

const GROUP = toGroupId('ledger');
const ACCOUNT = toAccountId('mill-7');
const DOMAIN = toFailureDomain('north');

function createRecord(revision: number, value: ControlRecordValue): ControlRecord {
  return { name: getRecordName(value), revision: toRevision(revision), value };
}

function createSubject(revision: number, state: SubjectState): ControlRecord {
  const ticket = toTicketNumber(revision);
  return createRecord(revision, { kind: RecordKind.Subject, ticket, state });
}

function createDomain(revision: number, inService: boolean): ControlRecord {
  return createSubject(revision, { kind: SubjectKind.FailureDomain, domain: DOMAIN, inService });
}

test("an update that starts after the copy's revision is ignored, and an overlapping one is applied", () => {
  const records = new DaemonRecords();
  const update = (since: number, revision: number, list: ControlRecord[]) =>
    records.applyUpdate({
      since: toRevision(since),
      revision: toRevision(revision),
      records: list,
    });
  expect(update(3, 4, [createDomain(4, false)])).toEqual([]);
  expect(records.revision).toBe(0);
  expect(records.isInService(DOMAIN)).toBe(true);
  expect(update(0, 4, [createDomain(4, false)])).toHaveLength(1);
  expect(update(2, 5, [createDomain(4, false)])).toEqual([]);
  expect(records.revision).toBe(5);
  expect(records.isInService(DOMAIN)).toBe(false);
});

test('delayed records do not overwrite newer ones', () => {
  const records = new DaemonRecords();
  records.applyRecords([createDomain(9, false)], toRevision(9));
  expect(records.applyRecords([createDomain(5, true)], toRevision(6))).toEqual([]);
  expect(records.isInService(DOMAIN)).toBe(false);
  expect(records.revision).toBe(9);
});

test('lookups return the state in force; by default writes need a replica and no instance is leaving', () => {
  const records = new DaemonRecords();
  const instance = toInstanceId('ledger-1');
  expect(records.getAcknowledgement(GROUP)).toBe(Acknowledgement.Replica);
  expect(records.isLeaving(GROUP, instance)).toBe(false);
  const route = { kind: SubjectKind.Route, route: 'books', group: GROUP } as const;
  const leaving = {
    kind: SubjectKind.BackendServer,
    group: GROUP,
    instance,
    leaving: true,
  } as const;
  const server = {
    kind: RecordKind.Instance,
    ...{ group: GROUP, instance, domain: DOMAIN, address: 'a', platform: 'p' },
    ...{ slots: 2, connectionLimit: 15 },
  } as const;
  const account = {
    kind: SubjectKind.Account,
    account: ACCOUNT,
    ...{ rate: 1, burst: 1, salt: '', iterations: 1, keys: [], maximumOpenTransactions: 1 },
  } as const;
  const list = [createSubject(1, route), createSubject(2, leaving), createSubject(3, account)];
  records.applyRecords([...list, createRecord(4, server)], toRevision(4));
  expect(records.getRoute('books')).toEqual(route);
  expect(records.getAccount(ACCOUNT)).toEqual(account);
  expect(records.getAccounts()).toEqual([ACCOUNT]);
  expect(records.isLeaving(GROUP, instance)).toBe(true);
  expect(records.getInstances(GROUP)).toEqual([server]);
  expect(records.getRecordRevision(`instance/${GROUP}/${instance}`)).toBe(4);
});

test('the time for which a failure domain is out of service counts from when the copy learned of it', () => {
  let nowMs = 1000;
  const records = new DaemonRecords(() => nowMs);
  const account = { kind: SubjectKind.Account, account: ACCOUNT, rate: 1, burst: 1 } as const;
  records.applyRecords([createSubject(1, account as SubjectState)], toRevision(1));
  expect(records.getOutOfServiceMs(DOMAIN)).toBe(0);
  records.applyRecords([createDomain(2, false)], toRevision(2));
  nowMs = 1500;
  // The order was sent again.
  records.applyRecords([createDomain(3, false)], toRevision(3));
  nowMs = 2200;
  expect(records.getOutOfServiceMs(DOMAIN)).toBe(1200);
  records.applyRecords([createDomain(4, true)], toRevision(4));
  expect(records.getOutOfServiceMs(DOMAIN)).toBe(0);
  records.applyRecords([createDomain(5, false)], toRevision(5));
  nowMs = 2300;
  expect(records.getOutOfServiceMs(DOMAIN)).toBe(100);
});

test('a failure domain that is out of service in the first records has been so for an unknown time', () => {
  const records = new DaemonRecords(() => 1000);
  records.applyRecords([createDomain(2, false)], toRevision(2));
  expect(records.getOutOfServiceMs(DOMAIN)).toBe(Infinity);
});
