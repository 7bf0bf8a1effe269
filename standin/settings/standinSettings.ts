import { z } from 'zod';

const address = z.string().regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, 'expected IP:PORT');
const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'expected a name');
const milliseconds = z.number().min(0);

/** The schema of an instance's settings file. */
export const standinSettingsSchema = z.strictObject({
  group: name.describe('Database group of the instance.'),
  instance: name.describe('Id of the instance; unique in the fleet.'),
  domain: name.describe('Failure domain of the instance.'),
  listen: address.describe('PostgreSQL address; its IP is used for all outgoing connections.'),
  http: address.describe('HTTP address of the platform interface and of replication.'),
  peers: z.array(address).default([]).describe('HTTP addresses of the other instances.'),
  filbertpoint: z.array(address).default([]).describe('HTTP addresses that take announcements.'),
  announcement_token: z.string().optional().describe('Bearer token of announcements.'),
  role: z.enum(['primary', 'replica']).default('replica').describe('Role at start.'),
  term: z.int().min(1).default(1).describe('Term of a primary at start.'),
  slots: z.int().min(1).default(5).describe('Statements executed at once.'),
  connection_limit: z.int().min(1).default(50).describe('Connections accepted at once.'),
  opening_time_ms: milliseconds.default(0).describe('Time to open a connection.'),
  statement_ms: milliseconds.default(0).describe('Mean service time of a statement.'),
  statement_distribution: z
    .enum(['fixed', 'uniform', 'exponential'])
    .default('fixed')
    .describe('Distribution of service times.'),
  seed: z.int().default(1).describe('Seed of the service times.'),
  lag_ms: milliseconds.default(0).describe('Replication lag.'),
  announce_interval_ms: z.int().min(1).default(100).describe('Time between announcements.'),
  peer_poll_ms: z.int().min(1).default(100).describe('Time between looks at the peers.'),
  user: z.string().optional().describe('The only user accepted; any user when absent.'),
  password: z.string().optional().describe('Password of every user; none asked when absent.'),
  received_limit_bytes: z
    .int()
    .min(0)
    .default(16_777_216)
    .describe('How many received bytes are kept for inspection.'),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('Lowest level.'),
    })
    .prefault({}),
});

/** An instance's settings, checked. */
export type StandinSettings = z.infer<typeof standinSettingsSchema>;

/** An instance's settings before defaults are filled in. */
export type StandinSettingsInput = z.input<typeof standinSettingsSchema>;
