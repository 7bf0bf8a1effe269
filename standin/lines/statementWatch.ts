/** A statement as an instance got it. */
export interface SeenStatement {
  readonly instance: string;
  readonly domain: string;
  /** Client account that the connection was opened for. */
  readonly account: string;
  readonly id: string;
  /** Text as it came. */
  readonly text: string;
  /** Session values of the connection. */
  readonly values: ReadonlyMap<string, string>;
  /** Ids of the statements that wrote in the open transaction; undefined outside of one. */
  readonly transaction: readonly string[] | undefined;
}

/** Looks at every statement that the instances of a group get, before it runs. */
export abstract class StatementWatch {
  abstract see(statement: SeenStatement): void;
}
