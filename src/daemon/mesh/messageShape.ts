import { isPeerAddress } from '../../common/settings/index.js';
import { MeshKind } from './meshKind.js';

/** Types of the fields that are checked in received messages. */
enum FieldType {
  Text = 'text',
  /** Mesh address to which a connection can be opened. */
  Address = 'address',
  /** Non-negative integer that is represented exactly. */
  Count = 'count',
  OptionalCount = 'optional-count',
  Duration = 'duration',
  Flag = 'flag',
  Bytes = 'bytes',
  List = 'list',
}

/** Types of fields by name, or the shapes of nested objects. */
interface Shape {
  readonly [name: string]: FieldType | Shape;
}

const { Text, Address, Count, OptionalCount, Duration, Flag, Bytes, List } = FieldType;

const OUTCOME: Shape = { status: Text, wrote: Flag, onReplica: Flag, waitMs: Duration };

const REQUEST: Shape = {
  id: Text,
  group: Text,
  lease: Text,
  account: Text,
  kind: Text,
  idempotent: Flag,
  mayCommit: Flag,
  remainingMs: Duration,
  priority: OptionalCount,
  closesConnection: Flag,
  costClass: Text,
  prepared: List,
  payload: Bytes,
};

const RENEWAL: Shape = {
  host: Text,
  incarnation: Text,
  lease: Text,
  domain: Text,
  address: Address,
  sequence: Count,
  answered: Count,
  sinceAnsweredMs: Duration,
  revision: Count,
  announcements: List,
  reports: List,
  releasedGroups: List,
  releasedAccounts: List,
  stopping: Flag,
  linkBytesPerSecond: OptionalCount,
};

/** Fields that every message of a kind has; most optional ones are checked by their consumers. */
const SHAPES: Readonly<Record<MeshKind, Shape>> = {
  [MeshKind.Hello]: { version: Count, host: Text, incarnation: Text, address: Address },
  [MeshKind.Heartbeat]: { sequence: Count },
  [MeshKind.HeartbeatAnswer]: { sequence: Count },
  [MeshKind.Execute]: { request: REQUEST, received: Count },
  [MeshKind.ResponseBytes]: { id: Text, offset: Count, bytes: Bytes },
  [MeshKind.ResponseEnd]: { id: Text, offset: Count, bytes: Bytes, outcome: OUTCOME },
  [MeshKind.ResponseCredit]: { id: Text, consumed: Count },
  [MeshKind.Cancel]: { id: Text, abandoned: Flag },
  [MeshKind.AbortTransaction]: { group: Text, transaction: Text },
  [MeshKind.TokenMessage]: { content: { kind: Text, account: Text } },
  [MeshKind.LeaseRenewal]: { renewal: RENEWAL },
  [MeshKind.LeaseGrant]: {
    grant: { lease: Text, sequence: Count, lengthMs: Duration, retired: Flag, records: Bytes },
  },
  [MeshKind.LeaseRedirect]: {},
  [MeshKind.RecordUpdate]: { update: { since: Count, revision: Count, records: Bytes } },
  [MeshKind.Consensus]: {
    from: Text,
    to: Text,
    content: { kind: Text, from: Text, to: Text, term: Count },
  },
  [MeshKind.ControlCall]: { id: Text, content: { kind: Text } },
  [MeshKind.ControlAnswer]: { id: Text },
  [MeshKind.PositionQuestion]: { group: Text, lease: Text, sequence: Count },
  [MeshKind.PositionAnswer]: { group: Text, sequence: Count, term: Count, position: Count },
};

/** Returns the path of the first field of a message that is absent or of a wrong type. */
export function findInvalidField(kind: MeshKind, message: object): string | undefined {
  return findInvalid(SHAPES[kind], message);
}

function findInvalid(shape: Shape, value: object): string | undefined {
  const fields = value as Readonly<Record<string, unknown>>;
  for (const name in shape) {
    const type = shape[name];
    const field = fields[name];
    if (typeof type === 'object') {
      const invalid = isObject(field) ? findInvalid(type, field) : '';
      if (invalid !== undefined) {
        return invalid === '' ? name : `${name}.${invalid}`;
      }
    } else if (type !== undefined && !hasType(type, field)) {
      return name;
    }
  }
  return undefined;
}

function hasType(type: FieldType, field: unknown): boolean {
  switch (type) {
    case FieldType.Text:
      return typeof field === 'string';
    case FieldType.Address:
      return typeof field === 'string' && isPeerAddress(field);
    case FieldType.Count:
      return Number.isSafeInteger(field) && (field as number) >= 0;
    case FieldType.OptionalCount:
      return field === undefined || hasType(Count, field);
    case FieldType.Duration:
      return Number.isFinite(field) && (field as number) >= 0;
    case FieldType.Flag:
      return typeof field === 'boolean';
    case FieldType.Bytes:
      return field instanceof Uint8Array;
    case FieldType.List:
      return Array.isArray(field);
  }
}

function isObject(field: unknown): field is object {
  return typeof field === 'object' && field !== null && !Array.isArray(field);
}
