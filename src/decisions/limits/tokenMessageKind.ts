/** Kind of a message between an entry daemon and an account's holder. */
export enum TokenMessageKind {
  Request = 'token-request',
  Grant = 'token-grant',
  Return = 'token-return',
  Recall = 'token-recall',
}
