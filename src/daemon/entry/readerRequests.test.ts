import { beforeEach, expect, test } from 'vitest';
import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import {
  toAccountId,
  toFailureDomain,
  toGroupId,
  toHostId,
  toIncarnation,
  toInstanceId,
  toLeaseId,
  toRevision,
  toTerm,
} from '../../common/ids/index.js';
import { ManualTimerService } from '../../common/timer/index.js';
import {
  DaemonRecords,
  getRecordName,
  PrimaryPhase,
  RecordKind,
  type ControlRecordValue,
} from '../../decisions/control/index.js';
import { HolderLease, type GroupHolder } from '../holder/index.js';
import { MeshKind, type Mesh, type MeshMessage } from '../mesh/index.js';
import {
  createRefusedOutcome,
  RequestIds,
  RequestKind,
  ResponseReceiver,
  RunningRequest,
  TransactionStatus,
  type ExecuteRequest,
  type RequestOutcome,
} from '../requests/index.js';
import { Dispatcher, type RequestDraft } from './dispatcher.js';
import { ReaderRequests } from './readerRequests.js';
import type { RemoteRequests } from './remoteRequests.js';

const GROUP = toGroupId('ledger');
const DEADLINE_MS = 1000;

class RecordingReceiver extends ResponseReceiver {
  readonly outcomes: RequestOutcome[] = [];

  override accept(): void {
    // The bytes are not used.
  }

  override finish(outcome: RequestOutcome): void {
    this.outcomes.push(outcome);
  }
}

class ValidLease extends HolderLease {
  override readonly id = toLeaseId('entry.1');
  override readonly leftMs = 1000;

  override isValid(): boolean {
    return true;
  }
}

/** A request sent to another daemon, answered by the test. */
class SentRequest extends RunningRequest {
  override revoke(): void {
    // Not used here.
  }

  isAbandoned = false;

  constructor(
    readonly address: string,
    readonly request: ExecuteRequest,
    readonly receiver: ResponseReceiver,
  ) {
    super();
  }

  override consume(): void {
    // Consumed bytes are not counted.
  }

  override cancel(): void {
    // A cancelled request is still answered.
  }

  override abandon(): void {
    this.isAbandoned = true;
  }

  refuse(fault: Fault): void {
    this.receiver.finish(createRefusedOutcome(fault));
  }

  answer(transaction?: string): void {
    this.receiver.finish({
      ...{ status: TransactionStatus.Idle, wrote: false, onReplica: true, waitMs: 0, serviceMs: 1 },
      ...(transaction === undefined ? {} : { transaction, status: TransactionStatus.Open }),
    });
  }
}

/** An entry host, with a group whose holder and readers are on other hosts. */
class EntryHost {
  readonly timer = new ManualTimerService();
  readonly sent: SentRequest[] = [];
  readonly messages: (readonly [string, MeshMessage])[] = [];
  readonly records = new DaemonRecords();
  readonly readers: ReaderRequests;
  private readonly dispatcher: Dispatcher;
  private revision = 0;

  constructor() {
    const { timer, records } = this;
    const lease = new ValidLease();
    const holder = {} as unknown as GroupHolder;
    const remote = {
      send: (address: string, request: ExecuteRequest, receiver: ResponseReceiver) => {
        const sent = new SentRequest(address, request, receiver);
        this.sent.push(sent);
        return sent;
      },
    } as unknown as RemoteRequests;
    const mesh = {
      send: (address: string, message: MeshMessage) => this.messages.push([address, message]),
    } as unknown as Mesh;
    const domain = toFailureDomain('a');
    this.readers = new ReaderRequests({ domain, timer, records, lease, holder, remote, mesh });
    const ids = new RequestIds(toIncarnation('life'));
    this.dispatcher = new Dispatcher(ids, timer, records, lease, holder, remote, this.readers);
    const since = toRevision(1);
    for (const name of ['primary', 'second', 'third']) {
      const instance = toInstanceId(name);
      this.set({
        ...{ kind: RecordKind.Instance, group: GROUP, instance, address: name, platform: 'p' },
        ...{ domain: toFailureDomain('a'), slots: 2, connectionLimit: 8 },
      });
      const reader = createHolder(`reader-${name}`);
      this.set({ kind: RecordKind.InstanceReader, group: GROUP, instance, holder: reader, since });
    }
    this.set({
      ...{ kind: RecordKind.Primary, group: GROUP, instance: toInstanceId('primary') },
      ...{ phase: PrimaryPhase.Serving, since, term: toTerm(1), history: [] },
    });
    const groupHolder = createHolder('holder');
    this.set({
      kind: RecordKind.GroupHolder,
      group: GROUP,
      holder: groupHolder,
      since,
      draining: false,
    });
  }

  get addresses(): readonly string[] {
    return this.sent.map(({ address }) => address);
  }

  set(value: ControlRecordValue): void {
    this.revision += 1;
    const revision = toRevision(this.revision);
    this.records.applyRecords([{ name: getRecordName(value), revision, value }], revision);
  }

  run(fields: Partial<RequestDraft> = {}): RecordingReceiver {
    const receiver = new RecordingReceiver();
    const draft: RequestDraft = {
      ...{ group: GROUP, account: toAccountId('mill'), kind: RequestKind.Read, idempotent: true },
      ...{ mayCommit: false, closesConnection: false, costClass: 'read', prepared: [] },
      ...{ payload: new Uint8Array(), maximumStalenessMs: 1500, readOnly: true },
      ...fields,
    };
    this.dispatcher.dispatch(draft, this.timer.now() + DEADLINE_MS, receiver);
    return receiver;
  }

  get lastSent(): SentRequest {
    const last = this.sent.at(-1);
    if (last === undefined) {
      throw new Error('nothing was sent');
    }
    return last;
  }
}

function createHolder(name: string) {
  return { host: toHostId(name), lease: toLeaseId(`${name}.1`), address: name };
}

function createRefusal(diagnostic = Diagnostics.ReaderRefused): Fault {
  const values = { instance: 'second', group: GROUP, reason: 'behind' };
  return createFault(diagnostic, values, { step: 'reader.route', execution: Execution.NotRun });
}

let host: EntryHost;

beforeEach(() => {
  host = new EntryHost();
});

test('reads alternate between the readers of replicas; all other requests go to the holder', () => {
  host.run();
  host.run();
  host.run({ latest: true });
  host.run({ kind: RequestKind.Write, mayCommit: true, readOnly: false });
  host.run({ kind: RequestKind.Begin, readOnly: false });
  expect(host.addresses.slice(0, 2).sort()).toEqual(['reader-second', 'reader-third']);
  expect(host.addresses.slice(2)).toEqual(['holder', 'holder', 'holder']);
  expect(host.sent[0]?.request).toMatchObject({ instance: expect.any(String) as string });
  expect(host.sent[2]?.request.instance).toBeUndefined();
});

test.each([
  Diagnostics.ReaderRefused,
  Diagnostics.HolderMoved,
  Diagnostics.LeaseExpired,
  Diagnostics.BackendUnreachable,
])(
  'a read that a reader refuses as not run is sent to the holder once (FP$code)',
  async (cause) => {
    const read = host.run();
    host.lastSent.refuse(createRefusal(cause));
    await Promise.resolve();
    expect(host.addresses.at(-1)).toBe('holder');
    expect(host.sent).toHaveLength(2);
    host.lastSent.answer();
    expect(read.outcomes).toHaveLength(1);
    expect(read.outcomes[0]?.fault).toBeUndefined();
  },
);

test('a read unanswered for half of its time is sent to the holder; a delayed answer is ignored', async () => {
  const read = host.run();
  const [unresponsive] = host.sent;
  host.timer.advance(DEADLINE_MS / 2);
  await Promise.resolve();
  expect(unresponsive?.isAbandoned).toBe(true);
  expect(host.addresses.at(-1)).toBe('holder');
  unresponsive?.answer();
  expect(read.outcomes).toHaveLength(0);
  host.lastSent.answer();
  expect(read.outcomes).toHaveLength(1);
  host.run();
  host.run();
  expect(host.addresses.slice(2)).not.toContain(unresponsive?.address);
});

test('a read that a reader and then the holder refuse is not sent to a reader again', async () => {
  host.run();
  host.lastSent.refuse(createRefusal());
  await Promise.resolve();
  host.lastSent.refuse(createRefusal(Diagnostics.HolderMoved));
  host.timer.advance(20);
  expect(host.addresses.slice(1)).toEqual(['holder', 'holder']);
});

test('the statements of a transaction go to the reader that opened it', () => {
  const begin = host.run({ kind: RequestKind.Begin });
  const { address } = host.lastSent;
  host.lastSent.answer('t-1');
  expect(begin.outcomes[0]?.transaction).toBe('t-1');
  host.run({ kind: RequestKind.Inside, transaction: 't-1' });
  expect(host.addresses).toEqual([address, address]);
  host.lastSent.answer('t-1');
  host.run({ kind: RequestKind.End, transaction: 't-1' });
  expect(host.addresses).toEqual([address, address, address]);
});

test('a statement inside a transaction that its reader refuses is not run elsewhere', async () => {
  host.run({ kind: RequestKind.Begin });
  host.lastSent.answer('t-1');
  const statement = host.run({ kind: RequestKind.Inside, transaction: 't-1' });
  host.lastSent.refuse(createRefusal(Diagnostics.HolderMoved));
  await Promise.resolve();
  host.timer.advance(50);
  expect(host.sent).toHaveLength(2);
  expect(statement.outcomes[0]?.fault?.execution).toBe(Execution.NotRun);
});

test('a transaction whose caller disconnected is rolled back at its reader', () => {
  host.run({ kind: RequestKind.Begin });
  const { address } = host.lastSent;
  host.lastSent.answer('t-1');
  expect(host.readers.abortTransaction(GROUP, 't-1')).toBe(true);
  const kind = MeshKind.AbortTransaction;
  expect(host.messages).toEqual([[address, { kind, group: GROUP, transaction: 't-1' }]]);
  expect(host.readers.abortTransaction(GROUP, 't-1')).toBe(false);
});

test('reads are not sent to the readers of the primary or of instances that are leaving', () => {
  const kind = RecordKind.Instance;
  for (const name of ['second', 'third']) {
    const instance = toInstanceId(name);
    host.set({
      ...{ kind, group: GROUP, instance, address: name, platform: 'p', leaving: true },
      ...{ domain: toFailureDomain('a'), slots: 2, connectionLimit: 8 },
    });
  }
  host.run();
  expect(host.addresses).toEqual(['holder']);
});
