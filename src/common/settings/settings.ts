import { z } from 'zod';
import { NAME_PATTERN } from '../names.js';
import { isAddress } from './address.js';

/** Schema of an address `ip:port`. */
export const addressSchema = z
  .string()
  .refine(isAddress, 'expected IP:PORT with an IP number, such as 10.0.1.1:7400')
  .meta({ title: 'IP:PORT' });

/** Schema of the name of a host, failure domain, group, instance or client account. */
export const nameSchema = z
  .string()
  .regex(NAME_PATTERN, 'expected a name of letters, digits, ".", "_", "-"')
  .meta({ title: 'a name' });

const memberSchema = z.strictObject({
  host: nameSchema.describe('Host id of the control host.'),
  domain: nameSchema.describe('Failure domain of the control host.'),
  address: addressSchema.describe('Mesh address of the control host.'),
});

const tlsSchema = z.strictObject({
  certificate: z.string().describe('PEM file with the certificate chain.'),
  key: z.string().describe('PEM file with the private key.'),
  authority: z.string().optional().describe('PEM file with the authority that peers must present.'),
});

/** Schema of a daemon's settings file. */
export const settingsSchema = z.strictObject({
  host: nameSchema.describe('Id of this host; unique in the fleet.'),
  domain: nameSchema.describe('Failure domain of this host.'),
  roles: z
    .array(z.enum(['entry', 'control']))
    .min(1)
    .describe('What this daemon does.'),
  data_folder: z.string().optional().describe('Folder for durable state; needed for control.'),
  mesh: z
    .strictObject({
      listen: addressSchema.describe('Address for other daemons.'),
      advertise: addressSchema
        .optional()
        .describe('Address that other daemons dial; that of listen when absent.'),
      link_bytes_per_second: z
        .int()
        .min(1)
        .optional()
        .describe(
          "Rate of this host's link, where it is narrow; reads of groups held here spread by it.",
        ),
      plain: z.boolean().default(false).describe('Allow the mesh without TLS.'),
      tls: tlsSchema.optional().describe('TLS on the mesh; both sides show a certificate.'),
    })
    .describe('Connections between daemons.'),
  control: z
    .strictObject({
      members: z.array(memberSchema).min(1).describe('The control hosts to begin with.'),
      member: nameSchema
        .optional()
        .describe('Name under which this host founds the quorum; its host id when absent.'),
      admits_members: z
        .boolean()
        .default(false)
        .describe('Control hosts join and lost ones are replaced without a ticket.'),
      losses: z
        .int()
        .min(0)
        .default(1)
        .describe(
          'Control hosts whose disks may be lost at once; twice as many and one must vote.',
        ),
    })
    .describe('The control quorum.'),
  callers: z
    .strictObject({
      listen: addressSchema.describe('PostgreSQL address for callers.'),
      statement_timeout_ms: z.int().min(1).default(30_000).describe('Deadline of a statement.'),
      maximum_message_bytes: z.int().min(1024).default(33_554_432).describe('Largest message.'),
      tls: tlsSchema.optional().describe('TLS towards callers.'),
    })
    .optional()
    .describe('Connections of callers.'),
  operators: z
    .strictObject({
      listen: addressSchema.describe('HTTP address for operators, announcements and metrics.'),
      token_file: z
        .string()
        .optional()
        .describe("File with the operators' bearer tokens, one a line."),
      announcer_token_file: z
        .string()
        .optional()
        .describe("File with the backend servers' bearer tokens for announcements, one a line."),
    })
    .describe('HTTP interface.'),
  overload: z
    .strictObject({
      enabled: z
        .boolean()
        .default(false)
        .describe('Refuse at once what cannot be served in time; the same on all hosts.'),
    })
    .prefault({})
    .describe('Control of demand beyond the capacity of database groups.'),
  withdrawal: z
    .strictObject({
      domain_ms: z
        .int()
        .min(1)
        .default(3000)
        .describe('For backend servers in a failure domain that is out of service.'),
      backend_server_ms: z
        .int()
        .min(1)
        .default(4200)
        .describe('For backend servers that are leaving.'),
    })
    .prefault({})
    .describe('Longest time for which what is out of service still runs requests.'),
  warmup: z
    .strictObject({
      overshoot: z
        .number()
        .min(0)
        .max(1000)
        .default(1.5)
        .describe("Factor on the group's rate for cold backend servers."),
      slack: z.number().min(0).max(100_000).default(5).describe('Requests allowed beyond that.'),
    })
    .prefault({})
    .describe('Most requests that a cold backend server gets within a second from all hosts.'),
  locality: z
    .strictObject({
      adaptive: z
        .boolean()
        .default(false)
        .describe(
          'Reads leave the failure domain in measured shares; holders and readers follow instances.',
        ),
      remote_cost_ms: z
        .number()
        .min(0.1)
        .max(10_000)
        .default(5)
        .describe(
          'Wait that a request may have instead of a round trip to another failure domain.',
        ),
    })
    .prefault({})
    .describe('Use of other failure domains than the own one.'),
  readers: z
    .strictObject({
      by_time: z
        .boolean()
        .default(false)
        .describe('Reads go where recent times say that they end first; slow readers get few.'),
    })
    .prefault({})
    .describe('Choice between the readers, and between the replicas, of a group.'),
  placement: z
    .strictObject({
      by_load: z
        .boolean()
        .default(false)
        .describe(
          'Groups, readers and accounts are placed by their measured work; the same on all hosts.',
        ),
      cores: z
        .number()
        .min(0.01)
        .max(1024)
        .optional()
        .describe('Cores that this host may use; hosts count as equal when absent.'),
    })
    .prefault({})
    .describe('Placement of groups, readers and accounts on hosts.'),
  clients: z
    .strictObject({
      memory_mb: z
        .int()
        .min(64)
        .optional()
        .describe("Memory of the host; derived from the limit of the engine's heap when absent."),
      held_bytes: z
        .int()
        .min(1_048_576)
        .optional()
        .describe('Bytes held for all clients together; 15% of the memory when absent.'),
      connection_bytes: z
        .int()
        .min(65_536)
        .optional()
        .describe(
          'Bytes of waiting requests and unsent answers above which a connection is not read; a ' +
            'fifth of those for all clients when absent.',
        ),
      message_timeout_ms: z
        .int()
        .min(1000)
        .default(15_000)
        .describe('Time for 1 KiB more of a message, or its end, to be received.'),
      answer_timeout_ms: z
        .int()
        .min(1000)
        .default(120_000)
        .describe('Time for a client to take a part of its answer.'),
      introduction_timeout_ms: z
        .int()
        .min(1000)
        .default(10_000)
        .describe('Time for a client to identify itself, or to send its first request.'),
      maximum_http_connections: z
        .int()
        .min(8)
        .optional()
        .describe(
          'Connections at one HTTP interface; a quarter of the descriptors, at most 4096, when absent.',
        ),
    })
    .prefault({})
    .describe('Limits on misbehaving clients, such as callers and operators.'),
  backend: z
    .strictObject({
      user: z.string().default('filbertpoint').describe('User towards backend servers.'),
      password_file: z.string().optional().describe('File with the password for that user.'),
    })
    .prefault({})
    .describe('Connections to backend servers.'),
  usage: z
    .strictObject({
      window_ms: z.int().min(100).max(3_600_000).describe('Length of a window.'),
      delay_ms: z
        .int()
        .min(1)
        .max(3_600_000)
        .describe('Time after the end of a window at which its report is due.'),
      lease_ms: z
        .int()
        .min(0)
        .max(3_600_000)
        .default(3000)
        .describe('Time that a new control leader waits before its first report.'),
    })
    .optional()
    .describe(
      'Reports of the requests of each client account, where the platform takes them; none when absent.',
    ),
  fleet: z
    .strictObject({
      token_key_file: z
        .string()
        .optional()
        .describe('File with the key that signs session tokens; the same on all hosts.'),
      token_key: z.string().min(16).optional().describe('That key itself, for trials only.'),
    })
    .describe('Secrets that all hosts share.'),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('Lowest level.'),
    })
    .prefault({})
    .describe('Logs.'),
});

/** Validated settings of a daemon. */
export type Settings = z.infer<typeof settingsSchema>;
