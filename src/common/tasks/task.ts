import { Mailbox } from './mailbox.js';

/** Actor within the daemon: owns its state and sockets and communicates by messages only. */
export abstract class Task<Message> {
  private readonly mailbox = new Mailbox<Message>();

  constructor(private readonly onFailure: (error: Error) => void) {
    void this.mailbox.stream.observe((message) => this.receive(message));
  }

  /** Sends the task a message. */
  post(message: Message): void {
    this.mailbox.post(message);
  }

  /** Ends the task's message stream; later messages are dropped. */
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
