/** A prepared statement that a request needs on its backend connection. */
export interface PreparedStatement {
  /** Name towards backend servers, made from the statement's text and parameter types. */
  readonly name: string;
  /** The whole message that prepares it under that name. */
  readonly message: Uint8Array;
}
