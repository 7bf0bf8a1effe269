/** Value of a log field; undefined values are omitted from the line. */
export type LogValue = string | number | boolean | undefined;

/** Fields of a log line: the common ones, and any others specific to an event. */
export interface LogFields {
  /** The host that writes the line. */
  readonly host?: LogValue;
  /** The failure domain of that host. */
  readonly domain?: LogValue;
  /** The step of the work, such as `mesh.connect`. */
  readonly step?: LogValue;
  /** The counterpart of the step: a host, an instance, a file or a caller's address. */
  readonly peer?: LogValue;
  readonly term?: LogValue;
  /** Number of a change ticket. */
  readonly ticket?: LogValue;
  /** Id of a request. */
  readonly request?: LogValue;
  readonly [field: string]: LogValue;
}
