import { text } from 'node:stream/consumers';
import { Terminal } from './terminal.js';

/** The terminal of this process. */
export class ProcessTerminal extends Terminal {
  override readonly environment = process.env;

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
