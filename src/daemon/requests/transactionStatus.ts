/** The transaction status that a backend server reports when it is ready for the next request. */
export enum TransactionStatus {
  Idle = 'I',
  Open = 'T',
  Failed = 'E',
}
