/** Tells the messages between entry daemons and an account's holder apart. */
export enum TokenMessageKind {
  Request = 'token-request',
  Grant = 'token-grant',
  Return = 'token-return',
  Recall = 'token-recall',
}
