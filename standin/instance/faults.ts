import { z } from 'zod';
import type { StandinSettings } from '../settings/index.js';

const milliseconds = z.number().min(0);

const faultsSchema = z.strictObject({
  cutOff: z.boolean().describe('Refuses and drops all connections and makes none.'),
  silentNew: z.boolean().describe('Accepts new connections and never answers on them.'),
  ghostMs: milliseconds.describe(
    'How long the instance keeps a silent connection that its client has closed.',
  ),
  announcementsStopped: z.boolean().describe('Sends no announcements.'),
  platformCutOff: z.boolean().describe('Drops requests to promote.'),
  replicationStopped: z.boolean().describe('Takes no records from the primary.'),
  lagMs: milliseconds.describe('Time from receipt of a record to its replay.'),
  replicationRate: milliseconds.describe('Records replayed a second; 0 for no bound.'),
  statementMs: milliseconds.describe('Mean service time of a statement.'),
  statementDistribution: z.enum(['fixed', 'uniform', 'exponential']),
  openingTimeMs: milliseconds.describe('Time to open a connection.'),
  leaving: z.boolean().describe('Announces that the instance leaves service.'),
  promoteFault: z
    .enum(['none', 'error', 'late', 'lost'])
    .describe('Promotes, but answers an error, late, or not at all.'),
  promoteDelayMs: milliseconds.describe('How late a late answer is.'),
});

/** The schema of a change of faults; what is absent stays as it is. */
export const faultChangeSchema = faultsSchema.partial();

/** A change of faults. */
export type FaultChange = z.infer<typeof faultChangeSchema>;

/** The faults in force. */
export type Faults = z.infer<typeof faultsSchema>;

/** The faults that an instance starts with. */
export function createFaults(settings: StandinSettings): Faults {
  return {
    cutOff: false,
    silentNew: false,
    ghostMs: 0,
    announcementsStopped: false,
    platformCutOff: false,
    replicationStopped: false,
    lagMs: settings.lag_ms,
    replicationRate: 0,
    statementMs: settings.statement_ms,
    statementDistribution: settings.statement_distribution,
    openingTimeMs: settings.opening_time_ms,
    leaving: false,
    promoteFault: 'none',
    promoteDelayMs: 0,
  };
}
