import { Terminal } from '../../src/cli/terminal.js';

/** A terminal for tests that keeps what was written. */
export class MemoryTerminal extends Terminal {
  output = '';
  errors = '';

  constructor(
    override readonly environment: Readonly<Record<string, string | undefined>> = {},
    private readonly input = '',
  ) {
    super();
  }

  override write(text: string): void {
    this.output += text;
  }

  override writeError(text: string): void {
    this.errors += text;
  }

  override readInput(): Promise<string> {
    return Promise.resolve(this.input);
  }
}
