import { expect, test } from 'vitest';
import { Diagnostics, Execution } from '../../common/diagnostics/index.js';
import {
  toAccountId,
  toGroupId,
  toInstanceId,
  toLeaseId,
  toRequestId,
} from '../../common/ids/index.js';
import { Mailbox } from '../../common/tasks/index.js';
import { ManualTimerService } from '../../common/timer/index.js';
import type { Mesh, MeshLink, MeshMessage } from '../mesh/index.js';
import {
  RequestKind,
  ResponseReceiver,
  type ExecuteRequest,
  type RequestOutcome,
} from '../requests/index.js';
import { RemoteRequests } from './remoteRequests.js';

const ADDRESS = 'reader';

class RecordingReceiver extends ResponseReceiver {
  outcome: RequestOutcome | undefined;

  override accept(): void {
    // The bytes are not used.
  }

  override finish(outcome: RequestOutcome): void {
    this.outcome = outcome;
  }
}

/** Sends a request, loses its link, and returns the sent messages and the fault after 200 ms. */
function loseLink(fields: Partial<ExecuteRequest>) {
  const timer = new ManualTimerService();
  const lost = new Mailbox<MeshLink>();
  const sent: MeshMessage[] = [];
  const link = { target: ADDRESS, send: (message: MeshMessage) => sent.push(message) };
  const mesh = { lost, receive: () => undefined, getLink: () => link } as unknown as Mesh;
  const requests = new RemoteRequests(mesh, timer, () => true);
  const receiver = new RecordingReceiver();
  const request: ExecuteRequest = {
    ...{ id: toRequestId('r-1'), group: toGroupId('g'), lease: toLeaseId('l') },
    ...{ account: toAccountId('mill'), kind: RequestKind.Read, idempotent: true },
    ...{ mayCommit: false, remainingMs: 2000, closesConnection: false, costClass: 'read' },
    ...{ prepared: [], payload: new Uint8Array(), ...fields },
  };
  requests.send(ADDRESS, request, receiver);
  lost.post(link as unknown as MeshLink);
  timer.advance(200);
  return { sent, fault: receiver.outcome?.fault };
}

test('a read ends at once when the link to its reader is lost, and is not sent again', () => {
  const { sent, fault } = loseLink({ instance: toInstanceId('replica') });
  expect(sent).toHaveLength(1);
  expect(fault).toMatchObject({
    code: Diagnostics.MeshUnreachable.code,
    execution: Execution.Unknown,
  });
});

test('requests to a holder and statements of a transaction are sent again after a lost link', () => {
  const instance = toInstanceId('replica');
  const statement = { instance, kind: RequestKind.Inside, transaction: 't-1' };
  for (const fields of [statement, {}]) {
    const { sent, fault } = loseLink(fields);
    expect(sent.length).toBeGreaterThan(1);
    expect(fault).toBeUndefined();
  }
});
