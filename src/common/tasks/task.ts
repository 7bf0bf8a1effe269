import { Mailbox } from './mailbox.js';

/** A part of the daemon that owns its state and sockets and is spoken to by messages only. */
export abstract class Task<Message> {
  private readonly mailbox = new Mailbox<Message>();

  constructor(private readonly onFailure: (error: Error) => void) {
    void this.mailbox.stream.observe((message) => this.receive(message));
  }

  /** Gives the task a message. */
  post(message: Message): void {
    this.mailbox.post(message);
  }

  /** Ends the task's stream of messages. */
  protected end(): void {
    this.mailbox.end();
  }

  protected abstract handle(message: Message): void;

  private receive(message: Message): void {
    try {
      this.handle(message);
    } catch (error) {
      this.onFailure(error instanceof Error ? error : new Error(String(error)));
    }
  }
}
