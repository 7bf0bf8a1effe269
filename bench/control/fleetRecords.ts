import {
  toAccountId,
  toFailureDomain,
  toGroupId,
  toHostId,
  toInstanceId,
  toLeaseId,
  toLogPosition,
  toRevision,
  toTerm,
  toTicketNumber,
} from '../../src/common/ids/index.js';
import {
  getRecordName,
  PrimaryPhase,
  RecordKind,
  type ControlRecord,
  type ControlRecordValue,
  type Holder,
} from '../../src/decisions/control/index.js';
import { tryParseTicket } from '../../src/decisions/tickets/index.js';
import { createAccountSubject } from '../fleet/createAccountSubject.js';

const INSTANCES = ['a', 'b', 'c'] as const;
const DAEMONS = 2200;
const DOMAINS = 12;

/** The records of a fleet: per group 3 instances, holder and primary; per account state and holder. */
export function createFleetRecords(groups: number, accounts: number): ControlRecord[] {
  const values: ControlRecordValue[] = [];
  for (let index = 0; index < groups; index += 1) {
    values.push(...createGroupValues(index));
  }
  const createState = createAccountStates();
  for (let index = 0; index < accounts; index += 1) {
    const account = toAccountId(`account-${index}`);
    const holder = createHolder(index);
    const since = toRevision(index + 1);
    values.push(createState(index));
    values.push({ kind: RecordKind.AccountHolder, account, holder, since, draining: false });
  }
  return values.map((value, index) => ({
    name: getRecordName(value),
    revision: toRevision(index + 1),
    value,
  }));
}

function createGroupValues(index: number): ControlRecordValue[] {
  const group = toGroupId(`group-${index}`);
  const getInstance = (suffix: string) => toInstanceId(`group-${index}-${suffix}`);
  const instances = INSTANCES.map((suffix, place) => ({
    kind: RecordKind.Instance as const,
    group,
    instance: getInstance(suffix),
    domain: toFailureDomain(`domain-${(index + place) % DOMAINS}`),
    address: `10.1.${index % 250}.${place}:5432`,
    platform: `10.1.${index % 250}.${place}:8080`,
    slots: 5,
    connectionLimit: 50,
  }));
  const since = toRevision(index + 1);
  return [
    ...instances,
    { kind: RecordKind.GroupHolder, group, holder: createHolder(index), since, draining: false },
    {
      kind: RecordKind.Primary,
      group,
      term: toTerm(3),
      instance: getInstance('a'),
      phase: PrimaryPhase.Serving,
      since,
      history: [1, 2].map((term) => ({ term: toTerm(term), position: toLogPosition(1e9) })),
    },
  ];
}

function createHolder(index: number): Holder {
  const host = `entry-${index % DAEMONS}`;
  return {
    host: toHostId(host),
    lease: toLeaseId(`incarnation-${host}.1`),
    address: `10.2.${index % 250}.1:7000`,
  };
}

function createAccountStates(): (index: number) => ControlRecordValue {
  const keys = [{ id: 'bench', key: 'the key of a bench' }];
  const pattern = createAccountSubject({ account: 'a', rate: 10, burst: 10 }, keys);
  return (index) => {
    const subjects = [{ ...pattern, account: `account-${index}` }];
    const ticket = tryParseTicket({ number: index + 1, subjects })._unsafeUnwrap();
    const [state] = ticket.subjects;
    if (state === undefined) {
      throw new Error('a ticket without a subject');
    }
    return { kind: RecordKind.Subject, ticket: toTicketNumber(index + 1), state };
  };
}
