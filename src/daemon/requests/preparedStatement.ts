/** A prepared statement that a request needs on its backend connection. */
export interface PreparedStatement {
  /** Name on backend connections, derived from the statement's text and parameter types. */
  readonly name: string;
  /** The complete protocol message that prepares the statement under that name. */
  readonly message: Uint8Array;
}
