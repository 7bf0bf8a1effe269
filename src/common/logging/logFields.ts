/** One value of a log line; absent values are left out. */
export type LogValue = string | number | boolean | undefined;

/** The pairs of one log line: the usual ones, and any others that an event needs. */
export interface LogFields {
  /** The host that writes. */
  readonly host?: LogValue;
  /** The failure domain of that host. */
  readonly domain?: LogValue;
  /** The step of the work, such as `mesh.connect`. */
  readonly step?: LogValue;
  /** The other side: a host, an instance, a file or a caller's address. */
  readonly peer?: LogValue;
  readonly term?: LogValue;
  /** Number of a change ticket. */
  readonly ticket?: LogValue;
  /** Id of a request. */
  readonly request?: LogValue;
  readonly [field: string]: LogValue;
}
