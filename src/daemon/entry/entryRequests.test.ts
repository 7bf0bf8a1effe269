import { expect, test } from 'vitest';
import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import {
  toAccountId,
  toFailureDomain,
  toGroupId,
  toHostId,
  toIncarnation,
  toLeaseId,
  toRevision,
  type RequestId,
} from '../../common/ids/index.js';
import { Logger, RequestLog } from '../../common/logging/index.js';
import { Metrics } from '../../common/metrics/index.js';
import { ManualTimerService } from '../../common/timer/index.js';
import {
  DaemonRecords,
  getGroupHolderRecordName,
  RecordKind,
} from '../../decisions/control/index.js';
import { HolderLease, type GroupHolder } from '../holder/index.js';
import type { Mesh } from '../mesh/index.js';
import type { RateTask } from '../rates/index.js';
import {
  RequestIds,
  createRefusedOutcome,
  RequestKind,
  ResponseReceiver,
  type RequestOutcome,
} from '../requests/index.js';
import { Dispatcher, type RequestDraft } from './dispatcher.js';
import { EntryRequests, OPEN_ACCOUNT } from './entryRequests.js';
import { ReaderRequests } from './readerRequests.js';
import type { RemoteRequests } from './remoteRequests.js';

const TARGET_MS = 200;
const DEADLINE_MS = 800;
const LEASE_POLL_MS = 50;

class ManualLease extends HolderLease {
  override readonly id = toLeaseId('life.1');
  override leftMs = 1000;

  override isValid(): boolean {
    return this.leftMs > 0;
  }
}

class RecordingReceiver extends ResponseReceiver {
  outcome: RequestOutcome | undefined;

  override accept(): void {
    // No bytes come in these tests.
  }

  override finish(outcome: RequestOutcome): void {
    this.outcome = outcome;
  }
}

/** Account holders that answer when the test says so. */
class ManualRateTask {
  refusal: Fault | undefined;
  readonly waiting = new Map<RequestId, (refusal: Fault | undefined) => void>();

  admit(
    { requestId }: { readonly requestId: RequestId },
    callback: (refusal: Fault | undefined) => void,
  ): void {
    if (this.refusal === undefined) {
      this.waiting.set(requestId, callback);
    } else {
      callback(this.refusal);
    }
  }

  cancel(id: RequestId): void {
    this.waiting.delete(id);
  }
}

/** An entry host whose account holders don't answer and whose groups have no holder. */
class EntryHost {
  readonly timer = new ManualTimerService();
  readonly lease = new ManualLease();
  readonly rates = new ManualRateTask();
  readonly requests: EntryRequests;
  readonly records = new DaemonRecords();
  /** Attempts that were sent to holders elsewhere. */
  readonly sent: ResponseReceiver[] = [];
  private revision = 0;

  constructor() {
    const { timer, lease } = this;
    const ids = new RequestIds(toIncarnation('life'));
    const { records } = this;
    const holder = {} as unknown as GroupHolder;
    const remote = {
      send: (_address: string, _request: unknown, receiver: ResponseReceiver) => {
        this.sent.push(receiver);
        return undefined;
      },
    } as unknown as RemoteRequests;
    const mesh = {} as unknown as Mesh;
    const domain = toFailureDomain('north');
    const readers = new ReaderRequests({ domain, timer, records, lease, holder, remote, mesh });
    this.requests = new EntryRequests({
      ...{ ids, timer, records, lease, holder, mesh, readers },
      rates: this.rates as unknown as RateTask,
      dispatcher: new Dispatcher(ids, timer, records, lease, holder, remote, readers),
      metrics: new Metrics(),
      log: new RequestLog(new Logger('error', {}, () => undefined), timer),
    });
  }

  run(draft: Partial<RequestDraft> = {}): RecordingReceiver {
    const receiver = new RecordingReceiver();
    const deadlineMs = this.timer.now() + DEADLINE_MS;
    this.requests.run(
      { ...DRAFT_WITHOUT_TARGET, targetMs: TARGET_MS, ...draft },
      1,
      deadlineMs,
      receiver,
    );
    return receiver;
  }

  /** Another host holds the group of the requests. */
  assign(draining = false): void {
    const { group } = DRAFT_WITHOUT_TARGET;
    const holder = { host: toHostId('other'), lease: toLeaseId('other.1'), address: 'other' };
    const value = { kind: RecordKind.GroupHolder, group, holder, draining } as const;
    this.revision += 1;
    const revision = toRevision(this.revision);
    const name = getGroupHolderRecordName(group);
    this.records.applyRecords([{ name, revision, value: { ...value, since: revision } }], revision);
  }

  /** The daemon notices after a while that its lease has ended or begun. */
  setLease(leftMs: number): void {
    this.lease.leftMs = leftMs;
    this.timer.advance(LEASE_POLL_MS);
    this.requests.leaseChanged();
  }
}

/** Of a caller that wants no latency. */
const DRAFT_WITHOUT_TARGET: RequestDraft = {
  ...{ group: toGroupId('ledger'), account: toAccountId('mill'), kind: RequestKind.Write },
  ...{ idempotent: false, mayCommit: true, closesConnection: false },
  ...{ costClass: 'write', prepared: [], payload: new Uint8Array() },
};

function expectLeaseExpired({ outcome }: RecordingReceiver): void {
  const { code, execution } = outcome?.fault ?? {};
  expect({ code, execution }).toEqual({
    code: Diagnostics.LeaseExpired.code,
    execution: Execution.NotRun,
  });
}

test('a host that lost its lease does not hold what waits for tokens until the deadline', () => {
  const host = new EntryHost();
  const receiver = host.run();
  host.setLease(0);
  host.timer.advance(TARGET_MS / 4);
  expectLeaseExpired(receiver);
  expect(host.rates.waiting.size).toBe(0);
});

test('a host that lost its lease does not hold what waits for a holder until the deadline', () => {
  const host = new EntryHost();
  const receiver = host.run({ account: OPEN_ACCOUNT });
  host.setLease(0);
  host.timer.advance(TARGET_MS / 4);
  expectLeaseExpired(receiver);
  host.setLease(1000);
  expect(host.timer.now()).toBeLessThan(DEADLINE_MS);
});

test('what comes to a host without a lease is refused at once, with its transaction', () => {
  const host = new EntryHost();
  host.setLease(0);
  host.timer.advance(TARGET_MS);
  expectLeaseExpired(host.run());
  const ended = host.run({ kind: RequestKind.End, transaction: 'open' });
  expectLeaseExpired(ended);
  expect(ended.outcome?.transaction).toBe('open');
});

test('a short loss of the lease is waited out', () => {
  const host = new EntryHost();
  host.setLease(0);
  const receiver = host.run();
  host.timer.advance(TARGET_MS / 4 - 1);
  host.setLease(1000);
  host.timer.advance(TARGET_MS);
  expect(receiver.outcome).toBeUndefined();
  expect(host.rates.waiting.size).toBe(1);
});

test('a caller that wants no latency waits for the lease', () => {
  const host = new EntryHost();
  host.setLease(0);
  const receiver = new RecordingReceiver();
  host.requests.run(DRAFT_WITHOUT_TARGET, 1, DEADLINE_MS, receiver);
  host.timer.advance(TARGET_MS);
  expect(receiver.outcome).toBeUndefined();
});

test('a caller of a host without a lease is not told that its account is above its rate', () => {
  const host = new EntryHost();
  const values = { account: 'mill', rate: 5 };
  host.rates.refusal = createFault(Diagnostics.RateExceeded, values, { step: 'rate.admit' });
  expect(host.run().outcome?.fault?.code).toBe(Diagnostics.RateExceeded.code);
  host.setLease(0);
  expectLeaseExpired(host.run());
});

const LEASE_EXPIRED = createFault(Diagnostics.LeaseExpired, {}, { step: 'test' });
const OUTCOME_UNKNOWN = createFault(
  Diagnostics.OutcomeUnknown,
  {},
  { step: 'test', execution: Execution.Unknown },
);

test('what its holder refuses after the lease was lost is not held until the deadline either', () => {
  const host = new EntryHost();
  host.assign();
  const receiver = host.run({ account: OPEN_ACCOUNT });
  host.setLease(0);
  host.timer.advance(TARGET_MS / 4);
  expect(receiver.outcome).toBeUndefined();
  const [attempt] = host.sent;
  attempt?.finish(createRefusedOutcome(LEASE_EXPIRED));
  host.timer.advance(TARGET_MS / 4);
  expectLeaseExpired(receiver);
});

test('a write that may have been run is not refused as not run after a second attempt', () => {
  const host = new EntryHost();
  host.assign();
  const receiver = host.run({ account: OPEN_ACCOUNT, idempotent: true });
  host.sent[0]?.finish(createRefusedOutcome(OUTCOME_UNKNOWN));
  host.timer.advance(TARGET_MS / 4);
  host.sent[1]?.finish(createRefusedOutcome(LEASE_EXPIRED));
  host.setLease(0);
  host.timer.advance(TARGET_MS / 4);
  expect(host.sent).toHaveLength(2);
  expect(receiver.outcome?.fault?.execution).toBe(Execution.Unknown);
});

test('a holder that gives a group up is not asked for new transactions, and for all else', () => {
  const host = new EntryHost();
  host.assign(true);
  host.run({ account: OPEN_ACCOUNT, kind: RequestKind.Begin });
  host.timer.advance(TARGET_MS);
  expect(host.sent).toHaveLength(0);
  host.run({ account: OPEN_ACCOUNT });
  expect(host.sent).toHaveLength(1);
  host.assign();
  host.timer.advance(TARGET_MS);
  expect(host.sent).toHaveLength(2);
});
