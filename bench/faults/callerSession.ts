import { Socket } from 'node:net';
import { LineReplyReader, type LineReply } from '../../platform/lines/lineReply.js';
import { LineSplitter } from '../../platform/lines/lineSplitter.js';
import { LINE_ENCODING, LINE_END, LineWord } from '../../platform/lines/lineWord.js';
import { splitAddress } from '../../src/common/settings/index.js';
import type { TimerService } from '../../src/common/timer/index.js';
import { TransactionStatus } from '../../src/daemon/requests/index.js';
import type { CallerLedger, SoakRequest } from './callerLedger.js';

/** A caller without an answer for this long breaks off; statements have 2 s. */
const ANSWER_LIMIT_MS = 4000;

/** Who opens a session, and where. */
export interface SessionTarget {
  readonly node: string;
  readonly address: string;
  readonly database: string;
  readonly key: string;
  /** Client account of the key, as backend servers may see it. */
  readonly account: string;
  /** The session's ids begin with it. */
  readonly name: string;
  /** The item of the caller, kept as a session value too. */
  readonly item: string;
}

/** A caller's connection, kept until the daemon ends it; says what came of each request. */
export class CallerSession {
  isClosed = false;
  status = TransactionStatus.Idle;
  /** The error that came before the end, if any. */
  lastError: string | undefined;
  /** Id and text of the last statement that was sent. */
  lastId = '';
  lastText = '';
  private readonly socket = new Socket();
  private waiting: ((reply: LineReply | undefined) => void) | undefined;
  private request: SoakRequest | undefined;
  private isConnecting = true;
  private count = 0;
  private readonly reader = new LineReplyReader((reply) => this.answered(reply));

  private constructor(
    private readonly target: SessionTarget,
    private readonly ledger: CallerLedger,
    private readonly timer: TimerService,
  ) {}

  /** Connects; the session is closed when the caller was refused or no answer came. */
  static async open(
    target: SessionTarget,
    ledger: CallerLedger,
    timer: TimerService,
  ): Promise<CallerSession> {
    const session = new CallerSession(target, ledger, timer);
    const { host, port } = splitAddress(target.address);
    const splitter = new LineSplitter({
      line: (text) => session.take(text),
      lineTooLong: () => session.end(),
    });
    const { socket } = session;
    socket.setNoDelay(true);
    socket.on('data', (bytes: Buffer) => splitter.push(bytes));
    socket.on('error', () => session.end());
    socket.on('end', () => session.end());
    socket.on('close', () => session.end());
    socket.connect({ host, port });
    await session.send(`${LineWord.Connect} ${target.database} ${target.key}`);
    session.isConnecting = false;
    return session;
  }

  /** Runs a statement; gives no reply when the connection ended before it was complete. */
  async ask(text: string): Promise<LineReply | undefined> {
    if (this.isClosed) {
      return undefined;
    }
    this.count += 1;
    const { node, account, item, name } = this.target;
    const id = `${name}-${this.count}`;
    this.request = { id, text, node, account, item, sentMs: this.timer.now() };
    this.lastId = id;
    this.lastText = text;
    this.ledger.asked(this.request);
    return this.send(`${LineWord.Query} ${id} ${text}`);
  }

  /** The caller leaves. */
  close(): void {
    this.request = undefined;
    this.status = TransactionStatus.Idle;
    this.end();
  }

  private send(message: string): Promise<LineReply | undefined> {
    return new Promise((resolve) => {
      if (this.isClosed) {
        resolve(undefined);
        return;
      }
      const cancel = this.timer.once(ANSWER_LIMIT_MS, () => this.end(true));
      this.waiting = (reply) => {
        cancel();
        resolve(reply);
      };
      this.socket.write(message + LINE_END, LINE_ENCODING);
    });
  }

  private take(line: string): void {
    const isError = line.startsWith(LineWord.Error);
    if (isError) {
      this.lastError = line.split(' ')[1];
    }
    if (this.waiting === undefined && !isError) {
      this.ledger.fail(`${this.target.name}: "${line}" answers nothing`);
    }
    if (!this.reader.processLine(line)) {
      this.end();
    }
  }

  private answered(reply: LineReply): void {
    this.status = reply.status;
    if (this.request !== undefined) {
      this.ledger.answered(this.request, reply);
    }
    this.request = undefined;
    this.finish(reply);
  }

  /** The connection is over, whoever ended it. */
  private end(isOwn = false): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    const { request, status, target } = this;
    const endMs = this.timer.now();
    if (!this.isConnecting && (request !== undefined || status !== TransactionStatus.Idle)) {
      const { node, name } = target;
      this.ledger.cut({ request, node, name, status, endMs, isOwn });
    }
    this.request = undefined;
    this.socket.destroy();
    this.finish(undefined);
  }

  private finish(reply: LineReply | undefined): void {
    const { waiting } = this;
    this.waiting = undefined;
    waiting?.(reply);
  }
}
