/** What a command has to show. */
export interface CommandReport {
  /** Printed with `--json`. */
  readonly json: unknown;
  /** Printed otherwise. */
  readonly text: string;
}
