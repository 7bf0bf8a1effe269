import * as fc from 'fast-check';
import { pack, unpack } from 'msgpackr';
import { expect, test } from 'vitest';
import { Diagnostics } from '../../common/diagnostics/index.js';
import {
  toGroupId,
  toHostId,
  toInstanceId,
  toLeaseId,
  toRevision,
  type Revision,
} from '../../common/ids/index.js';
import { AssignmentRegistry } from './assignmentRegistry.js';
import {
  CommandKind,
  ControlState,
  DaemonRecords,
  getInstanceReaderRecordName,
  RecordKind,
  type AssignReader,
  type Command,
  type CommandAnswer,
  type ControlSnapshot,
  type Holder,
} from './index.js';

const SEED = 20261205;
const GROUP = toGroupId('ledger');
const REPLICA = toInstanceId('ledger-2');
const GROUPS = [GROUP, toGroupId('books')];
const INSTANCES = [REPLICA, toInstanceId('ledger-3')];

/** Control state with the index of its last log entry and a daemon's copy of its records. */
class ControlLog {
  state: ControlState;
  readonly daemon = new DaemonRecords();
  private revision = 0;

  constructor(private readonly createState: () => ControlState = () => new ControlState()) {
    this.state = createState();
  }

  apply(command: Command): CommandAnswer {
    this.revision += 1;
    const answer = this.state.apply(command, toRevision(this.revision));
    const since = this.daemon.revision;
    this.daemon.applyRecords(this.state.getRecordsSince(since), toRevision(this.revision));
    return answer;
  }

  restart(): void {
    const snapshot = unpack(pack(this.state.createSnapshot())) as ControlSnapshot;
    this.state = this.createState();
    this.state.restore(snapshot);
  }
}

function createHolder(index: number): Holder {
  const host = `edge-${index % 3}`;
  return { host: toHostId(host), lease: toLeaseId(`${host}.${index}`), address: `${host}:1` };
}

function createReaderCommand(log: ControlLog, holder?: Holder, revisionsBehind = 0): AssignReader {
  const name = getInstanceReaderRecordName(GROUP, REPLICA);
  const expected = toRevision(Math.max(0, log.state.getRecordRevision(name) - revisionsBehind));
  const command = { kind: CommandKind.AssignReader, group: GROUP, instance: REPLICA } as const;
  return { ...command, expected, ...(holder && { holder }) };
}

test('a reader is replaced by one command and removed without draining', () => {
  const log = new ControlLog();
  const [first, second] = [createHolder(1), createHolder(2)];
  expect(log.apply(createReaderCommand(log, first)).changed).toBe(true);
  expect(log.apply(createReaderCommand(log, second)).changed).toBe(true);
  expect(log.daemon.getReader(GROUP, REPLICA)).toEqual({
    ...{ kind: RecordKind.InstanceReader, group: GROUP, instance: REPLICA },
    ...{ holder: second, since: 2 },
  });
  expect(log.state.getAssignments(first.lease)).toEqual([]);
  expect(log.apply(createReaderCommand(log)).changed).toBe(true);
  expect(log.daemon.getReader(GROUP, REPLICA)).not.toHaveProperty('holder');
  expect(log.state.getHolders()).toEqual([]);
  expect(log.state.getReaders(GROUP)).toEqual([]);
});

test('a reader command that is out of date or names a retired lease is refused', () => {
  const log = new ControlLog();
  const [first, second] = [createHolder(1), createHolder(2)];
  log.apply(createReaderCommand(log, first));
  const refusal = { changed: false, refusal: Diagnostics.CommandOutdated.code };
  expect(log.apply(createReaderCommand(log, second, 1))).toEqual(refusal);
  expect(log.apply(createReaderCommand(log, first))).toEqual(refusal);
  expect(log.apply({ kind: CommandKind.RetireLease, lease: first.lease }).changed).toBe(true);
  expect(log.daemon.getReader(GROUP, REPLICA)?.holder).toBeUndefined();
  expect(log.apply(createReaderCommand(log, first))).toEqual(refusal);
  expect(log.apply(createReaderCommand(log))).toEqual(refusal);
  expect(log.apply(createReaderCommand(log, second)).changed).toBe(true);
});

type Step =
  | { readonly kind: 'restart' }
  | { readonly kind: 'retire'; readonly holder: number }
  | { readonly kind: 'group'; readonly group: number; readonly holder: number }
  | {
      readonly kind: 'reader';
      readonly group: number;
      readonly instance: number;
      readonly holder: number | undefined;
      readonly isLate: boolean;
    };

const holderIndexes = fc.nat(11);
const stepsArbitrary: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    { weight: 1, arbitrary: fc.constant({ kind: 'restart' } as const) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant('retire'), holder: holderIndexes }) },
    {
      weight: 2,
      arbitrary: fc.record({ kind: fc.constant('group'), group: fc.nat(1), holder: holderIndexes }),
    },
    {
      weight: 10,
      arbitrary: fc.record({
        ...{ kind: fc.constant('reader'), group: fc.nat(1), instance: fc.nat(1) },
        holder: fc.option(holderIndexes, { nil: undefined }),
        isLate: fc.boolean(),
      }),
    },
  ),
  { minLength: 10, maxLength: 120 },
);

/** Reference model of the readers, group holders and retired leases. */
class AssignmentModel {
  readonly readers = new Map<string, Holder>();
  readonly groups = new Map<string, Holder>();
  readonly retired = new Set<string>();
  readonly revisions = new Map<string, Revision>();
}

function pick<Item>(items: readonly Item[], index: number): Item {
  return items[index % items.length] as Item;
}

function applyReader(
  log: ControlLog,
  model: AssignmentModel,
  step: Extract<Step, { kind: 'reader' }>,
): void {
  const [group, instance] = [pick(GROUPS, step.group), pick(INSTANCES, step.instance)];
  const name = getInstanceReaderRecordName(group, instance);
  const holder = step.holder === undefined ? undefined : createHolder(step.holder);
  const present = model.readers.get(name);
  const known = model.revisions.get(name) ?? toRevision(0);
  const isLate = step.isLate && known > 0;
  const expected = isLate ? toRevision(known - 1) : known;
  const command = { kind: CommandKind.AssignReader, group, instance, expected } as const;
  const answer = log.apply({ ...command, ...(holder && { holder }) });
  const isAllowed = !isLate && !(holder !== undefined && model.retired.has(holder.lease));
  expect(answer.changed).toBe(isAllowed && holder?.lease !== present?.lease);
  if (answer.changed) {
    model.revisions.set(name, log.state.revision);
    model.readers.delete(name);
    if (holder !== undefined) {
      model.readers.set(name, holder);
    }
  }
}

function applyOther(
  log: ControlLog,
  model: AssignmentModel,
  step: Exclude<Step, { kind: 'reader' }>,
): void {
  if (step.kind === 'restart') {
    log.restart();
    return;
  }
  const holder = createHolder(step.holder);
  if (step.kind === 'group') {
    const group = pick(GROUPS, step.group);
    const expected = log.state.getRecordRevision(`group-holder/${group}`);
    const command = { kind: CommandKind.AssignGroup, group, holder, expected } as const;
    if (log.apply(command).changed) {
      model.groups.set(group, holder);
    }
    return;
  }
  const { lease } = holder;
  log.apply({ kind: CommandKind.RetireLease, lease });
  model.retired.add(lease);
  for (const [name, held] of model.readers) {
    if (held.lease === lease) {
      model.readers.delete(name);
      model.revisions.set(name, log.state.revision);
    }
  }
  for (const [group, held] of model.groups) {
    if (held.lease === lease) {
      model.groups.delete(group);
    }
  }
}

function checkAssignments(log: ControlLog, model: AssignmentModel): void {
  const held = new Map<string, number>();
  for (const holder of [...model.readers.values(), ...model.groups.values()]) {
    held.set(holder.lease, (held.get(holder.lease) ?? 0) + 1);
  }
  for (const group of GROUPS) {
    const readers = INSTANCES.map((instance) => {
      const holder = model.readers.get(getInstanceReaderRecordName(group, instance));
      expect(log.state.getReader(group, instance)?.holder).toEqual(holder);
      expect(log.daemon.getReader(group, instance)?.holder).toEqual(holder);
      return holder;
    });
    const found = log.state.getReaders(group).map(({ holder }) => holder?.lease);
    const expected = readers.filter((each) => each !== undefined).map(({ lease }) => lease);
    expect(found.sort()).toEqual(expected.sort());
  }
  expect(
    log.state
      .getHolders()
      .map(({ lease }) => lease as string)
      .sort(),
  ).toEqual([...held.keys()].sort());
  for (const { host } of log.state.getHolders()) {
    const ofHost = log.state.getHolders().filter((each) => each.host === host);
    expect(new Set(log.state.getHoldersOf(host))).toEqual(new Set(ofHost));
  }
  for (const [lease, count] of held) {
    expect(log.state.getAssignments(toLeaseId(lease))).toHaveLength(count);
  }
}

function checkSteps(log: ControlLog, sequence: readonly Step[]): void {
  const model = new AssignmentModel();
  for (const step of sequence) {
    if (step.kind === 'reader') {
      applyReader(log, model, step);
    } else {
      applyOther(log, model, step);
    }
    checkAssignments(log, model);
  }
}

test('state and daemon copies match the model across reader changes, retired leases and restarts', () => {
  const property = fc.property(stepsArbitrary, (sequence) =>
    checkSteps(new ControlLog(), sequence),
  );
  fc.assert(property, { seed: SEED, numRuns: 100 });
});

test('the check against the model fails when a restart loses the retired leases', () => {
  class LosingRetiredLeases extends AssignmentRegistry {
    override restore(): void {
      super.restore([]);
    }
  }
  const createState = () =>
    new ControlState({ createAssignments: (records) => new LosingRetiredLeases(records) });
  const property = fc.property(stepsArbitrary, (sequence) =>
    checkSteps(new ControlLog(createState), sequence),
  );
  expect(fc.check(property, { seed: SEED, numRuns: 100 }).failed).toBe(true);
});
