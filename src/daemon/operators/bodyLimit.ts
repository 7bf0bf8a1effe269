/** Largest body of a request to the operators' HTTP interface, in bytes. */
export const MAXIMUM_BODY_BYTES = 1_048_576;
