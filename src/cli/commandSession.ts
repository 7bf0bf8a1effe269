import type { GlobalOptions } from './globalOptions.js';
import type { OperatorClient } from './operatorClient.js';
import type { Terminal } from './terminal.js';

/** What a command works with. */
export interface CommandSession {
  readonly client: OperatorClient;
  readonly terminal: Terminal;
  readonly options: GlobalOptions;
}
