import { SubjectKind, type ControlMember } from '../tickets/index.js';
import { shortenDigest, type AccountEntry } from './accountEntry.js';
import type { CheckedConfiguration, OtherState } from './checkedConfiguration.js';

/** How a subject differs from the version in force. */
export enum Change {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

/** Value of a field, without secrets. */
export type FieldValue = string | number | boolean | readonly string[];

/** A field that differs; an absent value is not set. */
export interface FieldChange {
  readonly field: string;
  readonly old?: FieldValue;
  readonly new?: FieldValue;
}

/** Difference of one subject, or of one entry of a complete configuration. */
export interface Difference {
  readonly change: Change;
  /** Name such as `account/mill-7`. */
  readonly subject: string;
  /** The fields that differ, if the subject is in both versions. */
  readonly fields: readonly FieldChange[];
}

type Fields = Readonly<Record<string, FieldValue | undefined>>;

/** Compares two versions; the entries of complete configurations are compared one by one. */
export function findDifferences(
  before: CheckedConfiguration,
  after: CheckedConfiguration,
): readonly Difference[] {
  return [
    ...compareEntries(before.accounts, after.accounts, SubjectKind.Account, listAccountFields),
    ...compareEntries(before.groups, after.groups, SubjectKind.Group, (group) => ({ ...group })),
    ...compareEntries(before.routes, after.routes, SubjectKind.Route, (route) => ({ ...route })),
    ...compareEntries(before.others, after.others, undefined, listOtherFields),
  ];
}

/** Compares entries by name; `kind` is left out where the names contain it. */
function* compareEntries<Name extends string, Entry>(
  before: ReadonlyMap<Name, Entry>,
  after: ReadonlyMap<Name, Entry>,
  kind: SubjectKind | undefined,
  listFields: (entry: Entry) => Fields,
): Iterable<Difference> {
  const getSubject = (name: Name) => (kind === undefined ? name : `${kind}/${name}`);
  for (const [name, entry] of after) {
    const earlier = before.get(name);
    if (earlier === undefined) {
      yield { change: Change.Added, subject: getSubject(name), fields: [] };
    } else {
      const fields = compareFields(listFields(earlier), listFields(entry));
      if (fields.length > 0) {
        yield { change: Change.Changed, subject: getSubject(name), fields };
      }
    }
  }
  for (const name of before.keys()) {
    if (!after.has(name)) {
      yield { change: Change.Removed, subject: getSubject(name), fields: [] };
    }
  }
}

function listAccountFields(entry: AccountEntry): Fields {
  const { rate, burst, maximumOpenTransactions, salt, iterations, keys } = entry;
  return {
    ...{ rate, burst, maximumOpenTransactions, iterations },
    salt: salt === undefined ? undefined : shortenDigest(salt),
    keys: keys.map(({ description }) => description),
  };
}

function listOtherFields(state: OtherState): Fields {
  return state.kind === SubjectKind.ControlMembers
    ? { members: state.members.map((member) => formatMember(member)) }
    : { ...state };
}

function formatMember({ member, host, domain, address }: ControlMember): string {
  return `${member} on ${host} in ${domain} at ${address}`;
}

function compareFields(old: Fields, next: Fields): readonly FieldChange[] {
  const oldNames = Object.keys(old);
  const nextNames = Object.keys(next);
  const isSame = (field: string) => isEqual(old[field], next[field]);
  // Most entries are equal; of these, no set of names is needed.
  if (oldNames.every(isSame) && nextNames.every(isSame)) {
    return [];
  }
  const names = new Set([...oldNames, ...nextNames]);
  return [...names]
    .filter((field) => !isSame(field))
    .map((field) => createChange(field, old[field], next[field]));
}

function createChange(
  field: string,
  old: FieldValue | undefined,
  next: FieldValue | undefined,
): FieldChange {
  return {
    field,
    ...(old === undefined ? {} : { old }),
    ...(next === undefined ? {} : { new: next }),
  };
}

/** Whether two values are equal; the order of a list has no meaning. */
function isEqual(left: FieldValue | undefined, right: FieldValue | undefined): boolean {
  if (!Array.isArray(left) || !Array.isArray(right)) {
    return left === right;
  }
  if (left.length === right.length && left.every((value, index) => value === right[index])) {
    return true;
  }
  const known = new Set<unknown>(left);
  return known.size === new Set<unknown>(right).size && right.every((value) => known.has(value));
}
