import { z } from 'zod';
import { toLogPosition, toTerm } from '../../src/common/ids/index.js';
import type { TermStart } from '../log/index.js';

const termStartSchema = z
  .object({ term: z.number(), position: z.number() })
  .transform(({ term, position }): TermStart => ({
    term: toTerm(term),
    position: toLogPosition(position),
  }));

/** The schema of what an instance tells its peers of itself. */
export const replicationStateSchema = z.object({
  instance: z.string(),
  isPrimary: z.boolean(),
  history: z.array(termStartSchema),
  position: z.number().transform(toLogPosition),
});

/** What an instance tells its peers of itself. */
export type ReplicationState = z.infer<typeof replicationStateSchema>;
