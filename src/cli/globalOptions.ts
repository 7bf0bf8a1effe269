/** The options that each command takes. */
export interface GlobalOptions {
  readonly url: string[] | undefined;
  readonly tokenFile: string | undefined;
  readonly json: boolean;
  /** Bound on each request with its retries, in seconds. */
  readonly timeout: number;
}
