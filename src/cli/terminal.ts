/** What the program has of the process it runs in. */
export abstract class Terminal {
  abstract readonly environment: Readonly<Record<string, string | undefined>>;
  /** Writes to standard output; adds no end of line. */
  abstract write(text: string): void;
  /** Writes to standard error; adds no end of line. */
  abstract writeError(text: string): void;
  /** Reads standard input to its end. */
  abstract readInput(): Promise<string>;
}
