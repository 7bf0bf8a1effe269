import { Socket } from 'node:net';
import { LineReplyReader, type LineReply } from '../../platform/lines/lineReply.js';
import { LineSplitter } from '../../platform/lines/lineSplitter.js';
import { LINE_END, LINE_ENCODING, LineWord } from '../../platform/lines/lineWord.js';
import { splitAddress } from '../../src/common/settings/index.js';
import type { TimerService } from '../../src/common/timer/index.js';

/** A caller without an answer for this long breaks off. */
const ANSWER_LIMIT_MS = 4000;

/** A caller of the platform's line protocol: one statement at a time. */
export class LineClient {
  isClosed = false;
  /** The error that came before the end, if any. */
  lastError: string | undefined;
  private readonly socket = new Socket();
  private waiting: ((reply: LineReply | undefined) => void) | undefined;
  private count = 0;
  private readonly reader = new LineReplyReader((reply) => this.finish(reply));

  private constructor(
    private readonly name: string,
    private readonly timer: TimerService,
  ) {}

  /** Connects; gives nothing when the caller was refused or no answer came. */
  static async open(
    address: string,
    database: string,
    key: string,
    name: string,
    timer: TimerService,
  ): Promise<LineClient> {
    const client = new LineClient(name, timer);
    const { host, port } = splitAddress(address);
    const splitter = new LineSplitter({
      line: (text) => client.take(text),
      lineTooLong: () => client.close(),
    });
    client.socket.setNoDelay(true);
    client.socket.on('data', (bytes: Buffer) => splitter.push(bytes));
    client.socket.on('error', () => client.close());
    client.socket.on('end', () => client.close());
    client.socket.on('close', () => client.close());
    client.socket.connect({ host, port });
    await client.send(`${LineWord.Connect} ${database} ${key}`);
    return client;
  }

  /** Runs a statement; gives its id and the reply, undefined when the connection broke. */
  async query(text: string): Promise<{ readonly id: string; readonly reply?: LineReply }> {
    this.count += 1;
    const id = `${this.name}-${this.count}`;
    const reply = await this.send(`${LineWord.Query} ${id} ${text}`);
    return reply === undefined ? { id } : { id, reply };
  }

  /** Ends the session. */
  close(): void {
    this.isClosed = true;
    this.socket.destroy();
    this.finish(undefined);
  }

  private send(message: string): Promise<LineReply | undefined> {
    return new Promise((resolve) => {
      if (this.isClosed) {
        resolve(undefined);
        return;
      }
      const cancel = this.timer.once(ANSWER_LIMIT_MS, () => this.close());
      this.waiting = (reply) => {
        cancel();
        resolve(reply);
      };
      this.socket.write(message + LINE_END, LINE_ENCODING);
    });
  }

  private take(line: string): void {
    if (line.startsWith(LineWord.Error)) {
      this.lastError = line.split(' ')[1];
    }
    // A message that nothing was asked for ends the session, as the platform's callers have it.
    if (this.waiting === undefined || !this.reader.processLine(line)) {
      this.close();
    }
  }

  private finish(reply: LineReply | undefined): void {
    const { waiting } = this;
    this.waiting = undefined;
    waiting?.(reply);
  }
}
