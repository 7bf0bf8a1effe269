/** The class of a request in histograms. */
export enum RequestClass {
  Read = 'read',
  Write = 'write',
  Transaction = 'transaction',
}
