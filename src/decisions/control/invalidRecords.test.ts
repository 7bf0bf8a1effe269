import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  toFailureDomain,
  toGroupId,
  toHostId,
  toIncarnation,
  toInstanceId,
  toLeaseId,
  toLogPosition,
  toRevision,
  toTerm,
} from '../../common/ids/index.js';
import {
  CommandKind,
  ControlInputKind,
  ControlLeader,
  ControlOutputKind,
  ControlState,
  DaemonRecords,
  InstanceRole,
  RecordKind,
  type Announcement,
  type ControlInput,
  type InstanceRecord,
} from './index.js';

const SEED = 20_261_205;
const GROUP = toGroupId('g');
const RENEWAL_INTERVAL_MS = 100;
const RENEWAL_COUNT = 60;

const ANNOUNCED: Announcement = {
  ...{ group: GROUP, instance: toInstanceId('a'), domain: toFailureDomain('north') },
  ...{ address: '10.0.0.1:1', platform: '10.0.0.1:2', role: InstanceRole.Primary },
  ...{ term: toTerm(1), position: toLogPosition(1), slots: 2, connectionLimit: 10 },
  ...{ leaving: false, startedMs: 1 },
};

/**
 * Runs a control leader over a restored state while a host forwards the announcements of a running
 * instance.
 */
function runLeader(state: ControlState): void {
  const leader = new ControlLeader(state);
  let revision = Number(state.revision);
  let nowMs = 0;
  const handle = (input: ControlInput): void => {
    for (const output of leader.handle(input, nowMs)) {
      if (output.kind === ControlOutputKind.Propose) {
        revision += 1;
        const { command } = output;
        const at = toRevision(revision);
        const answer = state.apply(command, at);
        handle({ kind: ControlInputKind.Committed, command, revision: at, answer });
      }
    }
  };
  handle({ kind: ControlInputKind.BecameLeader, host: toHostId('c'), controlTerm: 1 });
  for (let sequence = 1; sequence <= RENEWAL_COUNT; sequence += 1) {
    nowMs += RENEWAL_INTERVAL_MS;
    const renewal = {
      ...{ host: toHostId('e'), incarnation: toIncarnation('e'), lease: toLeaseId('e.1') },
      ...{ domain: toFailureDomain('north'), address: '10.0.0.3:1', sequence },
      ...{
        answered: sequence - 1,
        sinceAnsweredMs: RENEWAL_INTERVAL_MS,
        revision: toRevision(revision),
      },
      ...{ releasedGroups: [], releasedAccounts: [], reports: [], stopping: false },
      announcements: [{ announcement: { ...ANNOUNCED, sequence }, ageMs: 0 }],
    };
    handle({ kind: ControlInputKind.Renewal, renewal, mayGrant: true });
    handle({ kind: ControlInputKind.Tick });
  }
}

test('an invalid instance record in a restored state neither stops the leader nor excludes the instance', () => {
  const invalidValue = fc.oneof(
    fc.jsonValue({ maxDepth: 2 }),
    fc.constantFrom(2 ** 53 - 1, 1e308, Infinity, NaN, '10.0.0.1:99999', '10.0.0.1:1', '__proto__'),
  );
  const someInvalidFields = fc.dictionary(
    fc.constantFrom(
      'domain',
      'address',
      'platform',
      'slots',
      'connectionLimit',
      'startedMs',
      'gone',
    ),
    invalidValue,
    { minKeys: 1 },
  );
  const gone = fc.constantFrom({}, { gone: true });
  const fields = fc
    .tuple(someInvalidFields, gone)
    .map(([first, second]) => ({ ...first, ...second }));
  fc.assert(
    fc.property(
      fields,
      fc.constantFrom('a', 'odd'),
      fc.boolean(),
      (invalidFields, name, isPrimary) => {
        const { group, domain, address, platform } = ANNOUNCED;
        const record = {
          ...{ kind: RecordKind.Instance, group, instance: toInstanceId(name), domain, address },
          ...{ platform, slots: 2, connectionLimit: 10, startedMs: 1, ...invalidFields },
        } as unknown as InstanceRecord;
        const storedState = new ControlState();
        const kind = CommandKind.RegisterInstance;
        storedState.apply({ kind, instance: record, expected: toRevision(0) }, toRevision(1));
        if (isPrimary) {
          const instance = toInstanceId(name);
          const primary = {
            kind: CommandKind.RecordPrimary,
            group,
            term: toTerm(1),
            instance,
          } as const;
          storedState.apply(primary, toRevision(2));
        }
        const state = new ControlState();
        state.restore(structuredClone(storedState.createSnapshot()));
        runLeader(state);
        const records = new DaemonRecords();
        records.applyRecords(state.getRecordsSince(toRevision(0)), state.revision);
        const present = records.getInstance(GROUP, toInstanceId('a'));
        expect(present).toMatchObject({ address: '10.0.0.1:1', slots: 2, connectionLimit: 10 });
        expect(records.getInstances(GROUP)).toContain(present);
      },
    ),
    { seed: SEED, numRuns: 200 },
  );
});
