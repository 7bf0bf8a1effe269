import { text } from 'node:stream/consumers';
import { Terminal } from './terminal.js';

/** The terminal of this process. */
export class ProcessTerminal extends Terminal {
  override readonly environment = process.env;

  constructor() {
    super();
    // A reader such as `head` may end first; that is no failure of the command.
    process.stdout.on('error', (cause: NodeJS.ErrnoException) => {
      if (cause.code !== 'EPIPE') {
        throw cause;
      }
    });
  }

  override write(output: string): void {
    process.stdout.write(output);
  }

  override writeError(output: string): void {
    process.stderr.write(output);
  }

  override readInput(): Promise<string> {
    return text(process.stdin);
  }
}
