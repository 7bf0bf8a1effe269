import { expect, test } from 'vitest';
import {
  toInstanceId,
  toLogPosition,
  toRequestId,
  toTerm,
  type RequestId,
} from '../../common/ids/index.js';
import { WriteConfirmations, type PendingWrite } from './writeConfirmations.js';

const [A, B] = [toInstanceId('a'), toInstanceId('b')];

function at(position: number, term = 1) {
  return { term: toTerm(term), position: toLogPosition(position) };
}

function createWrite(id: string, position: number): PendingWrite {
  return { id: toRequestId(id), position: at(position), deadlineMs: 1000 };
}

function getIds(writes: readonly PendingWrite[]): RequestId[] {
  return writes.map(({ id }) => id);
}

test('a write waits for any replica that is not leaving', () => {
  const confirmations = new WriteConfirmations();
  expect(confirmations.add(createWrite('w', 5))).toBe(false);
  expect(confirmations.recordReplicaPosition(A, at(4))).toEqual([]);
  expect(confirmations.recordReplicaPosition(A, at(5), true)).toEqual([]);
  expect(getIds(confirmations.recordReplicaPosition(B, at(5)))).toEqual(['w']);
});

test('a write waits for each instance that must have it, on its own timeline', () => {
  const confirmations = new WriteConfirmations();
  confirmations.setRequirement({ needsReplica: false, instances: [A, B] });
  confirmations.recordReplicaPosition(A, at(9));
  expect(confirmations.add(createWrite('w', 5))).toBe(false);
  expect(confirmations.recordReplicaPosition(B, at(7, 2))).toEqual([]);
  expect(getIds(confirmations.recordReplicaPosition(B, at(5), true))).toEqual(['w']);
});

test('writes that wait for an instance are confirmed once it need not have them', () => {
  const confirmations = new WriteConfirmations();
  confirmations.setRequirement({ needsReplica: false, instances: [A] });
  expect(confirmations.add(createWrite('w', 5))).toBe(false);
  const none = { needsReplica: false, instances: [] };
  expect(getIds(confirmations.setRequirement(none))).toEqual(['w']);
});

test('a held write is left to a later term, whatever replicas reach and whichever are required', () => {
  const confirmations = new WriteConfirmations();
  confirmations.hold(createWrite('w', 5));
  expect(confirmations.recordReplicaPosition(A, at(9))).toEqual([]);
  expect(confirmations.setRequirement({ needsReplica: false, instances: [] })).toEqual([]);
  expect(getIds(confirmations.takeBefore(toTerm(2)))).toEqual(['w']);
});
