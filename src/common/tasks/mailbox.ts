import most, { type Disposable, type Scheduler, type Sink, type Stream } from 'most';

/** Stream source that emits posted messages in order while it has observers. */
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

/** Message queue of a task: `stream` emits the posted messages in the same order. */
export class Mailbox<Message> {
  private readonly source = new MailboxSource<Message>();
  readonly stream: Stream<Message> = new most.Stream<Message>(this.source);

  /** Delivers a message to the observers; the message is dropped while there are none. */
  post(message: Message): void {
    this.source.post(message);
  }

  /** Ends the stream and removes its observers. */
  end(): void {
    this.source.end();
  }
}
