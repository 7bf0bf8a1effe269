/** Why a connection of a caller or operator was closed by the limits on misbehaving clients. */
export enum CloseReason {
  /** The process held too many bytes, and this connection held the most of them. */
  OverBudget = 'over_budget',
  /** A message was begun and went on too slowly. */
  MessageStalled = 'message_stalled',
  /** An answer waited too long for the client to take it. */
  AnswerUntaken = 'answer_untaken',
  /** The client did not identify itself or complete its first request in time. */
  NotIntroduced = 'not_introduced',
  /** The connection made room for a newer one while it had not identified itself. */
  TooManyConnections = 'too_many_connections',
  /** More requests were sent ahead than a connection may have. */
  TooManyRequests = 'too_many_requests',
}
