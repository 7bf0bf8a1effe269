import type { ResultAsync } from 'neverthrow';
import type { Fault } from './diagnostics/index.js';

/** Asynchronous result of an operation that may be refused or fail. */
export type Outcome<Value> = ResultAsync<Value, Fault>;
