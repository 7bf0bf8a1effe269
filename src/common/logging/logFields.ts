/** The pairs of one log line; absent values are left out. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;
