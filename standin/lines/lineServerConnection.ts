import type { Socket } from 'node:net';
import { LineSplitter, type LineListener } from '../../platform/lines/lineSplitter.js';
import {
  ErrorCode,
  LINE_END,
  LINE_ENCODING,
  LineWord,
  NOTHING,
  StatementWord,
} from '../../platform/lines/lineWord.js';
import { readPosition } from '../../platform/lines/position.js';
import { splitWords } from '../../platform/lines/words.js';
import type { LineInstance } from './lineInstance.js';

interface OpenTransaction {
  readonly isPlain: boolean;
  readonly changes: [item: string, data: string][];
  readonly statements: string[];
}

/** One connection to a stand-in instance. */
export class LineServerConnection implements LineListener {
  private readonly splitter = new LineSplitter(this);
  private readonly waiting: string[] = [];
  private isConnected = false;
  private isBusy = false;
  private status = 'I';
  private transaction: OpenTransaction | undefined;
  private hasLostLead = false;
  private account = NOTHING;
  private readonly values = new Map<string, string>();
  private readonly prepared = new Map<string, string>();

  constructor(
    private readonly instance: LineInstance,
    private readonly socket: Socket,
  ) {
    socket.on('data', (bytes: Buffer) => this.splitter.push(bytes));
    socket.on('end', () => socket.end());
  }

  line(text: string): void {
    this.waiting.push(text);
    this.next();
  }

  lineTooLong(): void {
    this.destroy();
  }

  destroy(): void {
    this.socket.destroy();
  }

  /** A plain transaction that is open can't go on. */
  loseLead(): void {
    this.hasLostLead = this.transaction?.isPlain === true;
  }

  private next(): void {
    const text = this.isBusy ? undefined : this.waiting.shift();
    if (text === undefined) {
      return;
    }
    const [word = '', first = '', rest = ''] = splitWords(text, 3);
    if (!this.isConnected) {
      this.connect(word, first, rest);
    } else if (word === (LineWord.Query as string)) {
      this.query(first, rest);
    } else {
      this.destroy();
    }
  }

  private connect(word: string, service: string, rest: string): void {
    const [account = NOTHING, id] = rest.split(' ');
    const isRight =
      word === (LineWord.Connect as string) && service === this.instance.group.options.service;
    if (!isRight || (id !== undefined && id !== this.instance.id)) {
      this.socket.end(`${LineWord.Error} ${ErrorCode.Moved} ${this.instance.id}${LINE_END}`);
      return;
    }
    this.isConnected = true;
    this.account = account;
    this.ready();
  }

  private query(id: string, text: string): void {
    const { id: instance, domain, group } = this.instance;
    const { account, values, transaction } = this;
    group.watch?.see({
      ...{ instance, domain, account, id, text, values },
      transaction: transaction?.statements,
    });
    const [first = '', second = '', rest = ''] = splitWords(text, 3);
    if (first === (StatementWord.After as string)) {
      const wanted = readPosition(second);
      const { term, applied } = this.instance;
      if (wanted === undefined || wanted.term > term || wanted.position > applied) {
        this.fail(ErrorCode.Lagging);
        return;
      }
      this.run(id, rest);
      return;
    }
    this.run(id, text);
  }

  private run(id: string, text: string): void {
    const [word = '', name = '', rest = ''] = splitWords(text, 3);
    const isOver = this.hasLostLead && word !== (StatementWord.Rollback as string);
    if (isOver || (this.status === 'E' && word !== (StatementWord.Rollback as string))) {
      this.fail(isOver ? ErrorCode.ReadOnly : ErrorCode.Malformed);
      return;
    }
    switch (word) {
      case StatementWord.Begin as string:
        this.begin(name === '');
        return;
      case StatementWord.Rollback as string:
        this.endTransaction();
        this.done(NOTHING);
        return;
      case StatementWord.Commit as string:
        this.inSlot(() => this.commit(id));
        return;
      case StatementWord.Fetch as string:
        this.inSlot(() => this.fetch(name));
        return;
      case StatementWord.Put as string:
        this.inSlot(() => this.put(id, name, rest));
        return;
      case StatementWord.Set as string:
        this.values.set(name, rest);
        this.done(NOTHING);
        return;
      case StatementWord.Prepare as string:
        this.prepared.set(name, rest.split(' ')[0] ?? '');
        this.done(NOTHING);
        return;
      case StatementWord.Execute as string:
        this.execute(id, name, rest);
        return;
      case StatementWord.Reset as string:
        this.values.clear();
        this.prepared.clear();
        this.done(NOTHING);
        return;
      case StatementWord.Status as string:
        this.tellStatus();
        return;
      default:
        this.fail(ErrorCode.Malformed);
    }
  }

  private begin(isPlain: boolean): void {
    if (isPlain && this.instance.role !== 'primary') {
      this.fail(ErrorCode.ReadOnly);
      return;
    }
    this.transaction = { isPlain, changes: [], statements: [] };
    this.status = 'T';
    this.done(NOTHING);
  }

  private execute(id: string, name: string, rest: string): void {
    const kind = this.prepared.get(name);
    if (kind === undefined) {
      this.fail(ErrorCode.StatementUnknown);
      return;
    }
    this.run(id, `${kind} ${rest}`);
  }

  private fetch(item: string): void {
    const own = this.transaction?.changes.findLast(([name]) => name === item)?.[1];
    const data = own ?? this.instance.read(item);
    const row = data === undefined ? '' : `${LineWord.Row} ${data}${LINE_END}`;
    this.done('signature', row);
  }

  private put(id: string, item: string, data: string): void {
    if (this.instance.role !== 'primary') {
      this.fail(ErrorCode.ReadOnly);
      return;
    }
    if (this.transaction !== undefined) {
      this.transaction.changes.push([item, data]);
      this.transaction.statements.push(id);
      this.done('signature');
      return;
    }
    this.isBusy = true;
    this.instance.commit([[item, data]], [id], () => this.finish('signature'));
  }

  private commit(id: string): void {
    const { transaction } = this;
    if (transaction === undefined || this.hasLostLead) {
      this.fail(transaction === undefined ? ErrorCode.Malformed : ErrorCode.ReadOnly);
      return;
    }
    this.endTransaction();
    if (transaction.changes.length === 0) {
      this.done('signature');
      return;
    }
    this.isBusy = true;
    const { changes, statements } = transaction;
    this.instance.commit(changes, [...statements, id], () => this.finish('signature'));
  }

  private finish(signature: string): void {
    this.isBusy = false;
    this.done(signature);
  }

  private endTransaction(): void {
    this.transaction = undefined;
    this.hasLostLead = false;
    this.status = 'I';
  }

  /** Runs something once a slot was held for the time of the work; refuses when none is free. */
  private inSlot(run: () => void): void {
    const { slots, workMs } = this.instance.group.options;
    if (this.instance.busy >= slots) {
      this.fail(ErrorCode.Busy);
      return;
    }
    this.instance.busy += 1;
    this.isBusy = true;
    this.instance.group.timer.once(workMs, () => {
      this.instance.busy -= 1;
      this.isBusy = false;
      if (!this.socket.destroyed) {
        run();
      }
    });
  }

  private tellStatus(): void {
    const { role, term, log, connectionCount, busy } = this.instance;
    const row = `${LineWord.Row} ${role} ${term} ${term}.${log.length} 0 0 ${busy} ${connectionCount}`;
    this.done(NOTHING, row + LINE_END);
  }

  private fail(code: ErrorCode): void {
    const isHarmless = code === ErrorCode.Lagging || code === ErrorCode.Busy;
    if (this.transaction !== undefined && !isHarmless) {
      this.status = 'E';
    }
    this.write(`${LineWord.Error} ${code} ${this.instance.id}${LINE_END}`);
    this.ready();
  }

  private done(signature: string, rows = ''): void {
    this.write(`${rows}${LineWord.Done} ${signature}${LINE_END}`);
    this.ready();
  }

  private ready(): void {
    this.write(`${LineWord.Ready} ${this.status} ${this.instance.position}${LINE_END}`);
    this.next();
  }

  private write(text: string): void {
    if (!this.socket.destroyed) {
      this.socket.write(text, LINE_ENCODING);
    }
  }
}
