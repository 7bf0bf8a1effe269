import most, { type Disposable, type Scheduler, type Sink, type Stream } from 'most';

/** A source that passes on what is posted to it, in order, while it is observed. */
class MailboxSource<Message> {
  private readonly sinks = new Set<Sink<Message>>();
  private scheduler: Scheduler | undefined;

  run(sink: Sink<Message>, scheduler: Scheduler): Disposable<Message> {
    this.scheduler = scheduler;
    this.sinks.add(sink);
    return {
      dispose: () => {
        this.sinks.delete(sink);
      },
    };
  }

  post(message: Message): void {
    if (this.scheduler === undefined) {
      return;
    }
    const time = this.scheduler.now();
    for (const sink of this.sinks) {
      sink.event(time, message);
    }
  }

  end(): void {
    const time = this.scheduler?.now() ?? 0;
    for (const sink of this.sinks) {
      sink.end(time);
    }
    this.sinks.clear();
  }
}

/** The way into a task: what is posted comes out of `stream` in the same order. */
export class Mailbox<Message> {
  private readonly source = new MailboxSource<Message>();
  readonly stream: Stream<Message> = new most.Stream<Message>(this.source);

  /** Passes a message to the observers; dropped while there are none. */
  post(message: Message): void {
    this.source.post(message);
  }

  /** Ends the stream. */
  end(): void {
    this.source.end();
  }
}
