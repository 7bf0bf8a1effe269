import fc from 'fast-check';
import { expect, test } from 'vitest';
import { toHostId, toLeaseId, toRevision } from '../../common/ids/index.js';
import {
  DaemonRecords,
  type ControlRecord,
  type LeaseGrant,
} from '../../decisions/control/index.js';
import { SubjectKind } from '../../decisions/tickets/index.js';
import { SentRecords } from './sentRecords.js';

const SEED = 20261205;

function createGrant(changes: readonly ControlRecord[], applied: number): LeaseGrant {
  const records = changes.filter(({ revision }) => revision > applied);
  const revision = changes.at(-1)?.revision ?? toRevision(0);
  const grant = { lease: toLeaseId('l'), sequence: 1, lengthMs: 1, retired: false };
  return { ...grant, revision, records };
}

function createChange(revision: number): ControlRecord {
  const name = `subject/${SubjectKind.FailureDomain}/${toHostId(String(revision % 3))}`;
  return { name, revision: toRevision(revision), value: { kind: 'test' } as never };
}

test('a large change is not sent again for renewals that were sent before it arrived', () => {
  const sent = new SentRecords();
  const link = {};
  const before = [createChange(1), createChange(2)];
  expect(sent.omitSentRecords(link, createGrant(before, 0), toRevision(0)).records).toHaveLength(2);
  sent.recordUpdate(link, toRevision(2), toRevision(3));
  const changes = [...before, createChange(3)];
  for (let renewal = 0; renewal < 5; renewal += 1) {
    const grant = sent.omitSentRecords(link, createGrant(changes, 2), toRevision(2));
    expect(grant).toMatchObject({ since: 3, revision: 3, records: [] });
  }
  const other = sent.omitSentRecords({}, createGrant(changes, 2), toRevision(2));
  expect(other.records).toEqual([createChange(3)]);
});

/** Daemon and the leader's side of its link; messages in flight are lost with the link. */
class DaemonConnection {
  readonly daemon = new DaemonRecords();
  changes: ControlRecord[] = [];
  private readonly sent = new SentRecords();
  private link = {};
  private pushed = 0;
  private inFlight: (() => void)[] = [];

  change(): void {
    this.changes = [...this.changes, createChange(this.changes.length + 1)];
  }

  /** Pushes the changed records; with `includesDaemon` to this daemon too, else only to others. */
  push(includesDaemon: boolean): void {
    const update = {
      since: toRevision(this.pushed),
      revision: toRevision(this.changes.length),
      records: this.changes.slice(this.pushed),
    };
    this.pushed = this.changes.length;
    if (includesDaemon) {
      this.sent.recordUpdate(this.link, update.since, update.revision);
      this.inFlight.push(() => this.daemon.applyUpdate(update));
    }
  }

  renew(): void {
    const applied = this.daemon.revision;
    const grant = this.sent.omitSentRecords(this.link, createGrant(this.changes, applied), applied);
    const { since, revision, records } = grant;
    this.inFlight.push(() =>
      since === undefined
        ? this.daemon.applyRecords(records, revision)
        : this.daemon.applyUpdate({ since, revision, records }),
    );
  }

  deliver(): boolean {
    const first = this.inFlight.shift();
    first?.();
    return first !== undefined;
  }

  disconnect(): void {
    this.link = {};
    this.inFlight = [];
  }
}

const event = fc.constantFrom('change', 'push', 'skip', 'renew', 'deliver', 'lose');

function applyEvent(step: string, connection: DaemonConnection): void {
  switch (step) {
    case 'change':
      connection.change();
      break;
    case 'push':
    case 'skip':
      connection.push(step === 'push');
      break;
    case 'renew':
      connection.renew();
      break;
    case 'deliver':
      connection.deliver();
      break;
    case 'lose':
      connection.disconnect();
      break;
  }
}

test('a daemon has all records up to its revision and receives the rest despite lost links', () => {
  fc.assert(
    fc.property(fc.array(event, { maxLength: 80 }), (events) => {
      const connection = new DaemonConnection();
      const { daemon } = connection;
      for (const step of events) {
        applyEvent(step, connection);
        for (const { name, revision } of connection.changes) {
          const isReported = revision <= daemon.revision;
          expect(isReported && daemon.getRecordRevision(name) < revision).toBe(false);
        }
      }
      while (connection.deliver());
      connection.renew();
      connection.deliver();
      expect(daemon.revision).toBe(connection.changes.length);
    }),
    { seed: SEED, numRuns: 3000 },
  );
});
