/** The transaction status that a backend server reports when it is ready. */
export enum TransactionStatus {
  Idle = 'I',
  Open = 'T',
  Failed = 'E',
}
