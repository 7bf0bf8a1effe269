/** The address and credentials with which the daemon connects to PostgreSQL backend servers. */
export interface PostgresAccess {
  /** The daemon's own IP address, to which outgoing connections are bound. */
  readonly localIp: string;
  readonly user: string;
  readonly password: string | undefined;
  readonly database: string;
}
