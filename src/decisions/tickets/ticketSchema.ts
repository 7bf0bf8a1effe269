import { z } from 'zod';
import { NAME_PATTERN } from '../../common/names.js';
import { MAXIMUM_PRIORITY } from '../../common/priority.js';
import { Acknowledgement } from './acknowledgement.js';
import { Consistency } from './consistency.js';
import { SubjectKind } from './subjectKind.js';

const MAXIMUM_NUMBER = Number.MAX_SAFE_INTEGER;
const MAXIMUM_SUBJECTS = 1000;
const MAXIMUM_KEYS = 100;
const MAXIMUM_ACCOUNTS = 10_000;
const MAXIMUM_MEMBERS = 15;
const MAXIMUM_CONNECTIONS = 1_000_000;
/** Maximum number of routes in a configuration. */
export const MAXIMUM_ROUTES = 100_000;
const MAXIMUM_GROUPS = 100_000;
const MAXIMUM_SOURCE_LENGTH = 16_777_216;
const MAXIMUM_RATE_PER_SECOND = 100_000_000;
const MAXIMUM_BURST = 100_000_000;
const MINIMUM_ITERATIONS = 1;
const MAXIMUM_ITERATIONS = 10_000_000;
const MAXIMUM_OPEN_TRANSACTIONS = 1_000_000;
const MAXIMUM_TRANSACTION_MS = 86_400_000;
const MAXIMUM_WARMUP_MS = 86_400_000;

const name = z.string().regex(NAME_PATTERN, 'expected a name');
const base64 = z.base64().min(1).max(256);
const address = z.string().regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, 'expected IP:PORT');

const keySchema = z.strictObject({ id: name, storedKey: base64, serverKey: base64 });

const accountSchema = z.strictObject({
  kind: z.literal(SubjectKind.Account),
  account: name,
  rate: z.number().positive().max(MAXIMUM_RATE_PER_SECOND),
  burst: z.number().min(1).max(MAXIMUM_BURST),
  salt: base64,
  iterations: z.int().min(MINIMUM_ITERATIONS).max(MAXIMUM_ITERATIONS),
  keys: z
    .array(keySchema)
    .max(MAXIMUM_KEYS)
    .refine((keys) => isUnique(keys.map((key) => key.id)), 'expected each key id once'),
  maximumOpenTransactions: z.int().min(1).max(MAXIMUM_OPEN_TRANSACTIONS),
});

const groupSchema = z.strictObject({
  kind: z.literal(SubjectKind.Group),
  group: name,
  acknowledgement: z.enum(Acknowledgement),
  transactionLimitMs: z.number().positive().max(MAXIMUM_TRANSACTION_MS),
  connectionLimit: z.int().min(1).max(MAXIMUM_CONNECTIONS).optional(),
  warmupPerSecond: z.number().min(0).max(MAXIMUM_RATE_PER_SECOND).optional(),
  warmupMs: z.number().min(0).max(MAXIMUM_WARMUP_MS).optional(),
});

const milliseconds = z.number().positive().max(MAXIMUM_TRANSACTION_MS);

/** Schema of a route. */
export const routeSchema = z.strictObject({
  kind: z.literal(SubjectKind.Route),
  route: name,
  group: name,
  openAs: name.optional(),
  accounts: z.array(name).max(MAXIMUM_ACCOUNTS).optional(),
  consistency: z.enum(Consistency).optional(),
  maximumStalenessMs: milliseconds.optional(),
  statementTimeoutMs: milliseconds.optional(),
  targetLatencyMs: milliseconds.optional(),
  transactionIdleMs: milliseconds.optional(),
  priority: z.int().min(0).max(MAXIMUM_PRIORITY).optional(),
});

const failureDomainSchema = z.strictObject({
  kind: z.literal(SubjectKind.FailureDomain),
  domain: name,
  inService: z.boolean(),
});

const backendServerSchema = z.strictObject({
  kind: z.literal(SubjectKind.BackendServer),
  group: name,
  instance: name,
  leaving: z.boolean(),
});

const memberSchema = z.strictObject({ member: name, host: name, domain: name, address });

const controlMembersSchema = z.strictObject({
  kind: z.literal(SubjectKind.ControlMembers),
  members: z
    .array(memberSchema)
    .min(1)
    .max(MAXIMUM_MEMBERS)
    .refine((members) => isUnique(members.map((each) => each.member)), 'expected each member once')
    .refine((members) => isUnique(members.map((each) => each.host)), 'expected each host once'),
});

const configurationSchema = z.strictObject({
  kind: z.literal(SubjectKind.Configuration),
  routes: z
    .array(routeSchema)
    .max(MAXIMUM_ROUTES)
    .refine((routes) => isUnique(routes.map((each) => each.route)), 'expected each route once'),
  accounts: z
    .array(
      accountSchema
        .omit({ keys: true, salt: true, iterations: true })
        .extend({ keyDigests: z.array(z.string().min(1).max(128)).max(MAXIMUM_KEYS) }),
    )
    .max(MAXIMUM_ACCOUNTS)
    .refine((all) => isUnique(all.map((each) => each.account)), 'expected each account once')
    .refine((all) => isUnique(all.flatMap((each) => each.keyDigests)), 'expected each key once'),
  groups: z
    .array(groupSchema)
    .max(MAXIMUM_GROUPS)
    .refine((groups) => isUnique(groups.map((each) => each.group)), 'expected each group once'),
  source: z.string().max(MAXIMUM_SOURCE_LENGTH),
});

/** Schema of the full state of one subject. */
export const subjectSchema = z.discriminatedUnion('kind', [
  accountSchema,
  groupSchema,
  routeSchema,
  failureDomainSchema,
  backendServerSchema,
  controlMembersSchema,
  configurationSchema,
]);

/** Schema of a ticket as operators submit it. */
export const ticketSchema = z.strictObject({
  number: z.int().min(1).max(MAXIMUM_NUMBER),
  subjects: z.array(subjectSchema).min(1).max(MAXIMUM_SUBJECTS),
});

function isUnique(values: readonly string[]): boolean {
  return new Set(values).size === values.length;
}
