import type { ResultAsync } from 'neverthrow';
import type { CommandFailure } from './commandFailure.js';

/** The eventual outcome of a step of a command. */
export type CommandOutcome<Value> = ResultAsync<Value, CommandFailure>;
