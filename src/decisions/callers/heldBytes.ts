/** What the process holds for a connection, in bytes of memory. */
export enum Holding {
  /** Received bytes of messages that are not complete. */
  Received = 'received',
  /** Complete messages that wait or run. */
  Waiting = 'waiting',
  /** Answers that the client has not taken. */
  Unsent = 'unsent',
}

/** Bytes that the process holds for one connection, and when they last made progress. */
export class HeldBytes {
  /** Bytes that are reserved for the rest of a large message. */
  reserved = 0;
  /** Time at which the connection last completed a message or took part of an answer. */
  progressMs: number;
  /** Time at which the message that is being received began or last advanced; undefined if none is. */
  messageMs: number | undefined;
  /** Size of that message when it last advanced. */
  advancedBytes = 0;
  /** Time since which an answer waits to be taken; undefined if none does. */
  answerMs: number | undefined;
  /** Whether the client has identified itself. */
  isIntroduced = false;
  private readonly bytes = { received: 0, waiting: 0, unsent: 0 };

  constructor(public openedMs: number) {
    this.progressMs = openedMs;
  }

  /** Moves all times on, as nothing could be received or sent for a while. */
  postpone(durationMs: number): void {
    this.openedMs += durationMs;
    this.progressMs += durationMs;
    this.messageMs = this.messageMs === undefined ? undefined : this.messageMs + durationMs;
    this.answerMs = this.answerMs === undefined ? undefined : this.answerMs + durationMs;
  }

  /** All bytes that are charged to the connection. */
  get total(): number {
    const { received, waiting, unsent } = this.bytes;
    return Math.max(received, this.reserved) + waiting + unsent;
  }

  get(holding: Holding): number {
    return this.bytes[holding];
  }

  set(holding: Holding, bytes: number): void {
    this.bytes[holding] = bytes;
  }
}
