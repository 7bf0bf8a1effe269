// A client of the line protocol, as PROTOCOL.md describes it: "The wire" and "Clients".
import { connect } from 'node:net';
import { randomBytes } from 'node:crypto';
import { LineReader, splitFields } from './database.mjs';

/** A session: a connection on which one request at a time waits for its answer. */
export class Client {
  lines = [];
  onReply = undefined;
  isClosed = false;

  constructor(socket, name, record) {
    Object.assign(this, { socket, name, record });
    const reader = new LineReader((line) => this.receive(line));
    socket.on('data', (bytes) => reader.push(bytes));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.close());
  }

  /** Connects; resolves with the client and the answer to `CONNECT`. */
  static async open(
    address,
    database,
    key,
    { name = 'client', record = () => undefined, localAddress } = {},
  ) {
    const [host, port] = address.split(':');
    const socket = connect({
      host,
      port: Number(port),
      noDelay: true,
      ...(localAddress ? { localAddress } : {}),
    });
    const client = new Client(socket, name, record);
    const encoded = Buffer.from(`CONNECT ${database} ${key}`, 'utf8').toString('latin1');
    const reply = await client.send(encoded);
    return { client, reply };
  }

  /** Sends a statement under a new id; resolves with its answer. */
  async query(text, id = randomBytes(8).toString('hex')) {
    const shown = text.length > 120 ? `${text.slice(0, 60)}... (${text.length} bytes)` : text;
    this.record(`${this.name} sends: ${id} ${JSON.stringify(shown)}`);
    const reply = await this.send(`QUERY ${id} ${text}`);
    this.record(`${this.name} is answered: ${id} ${describeReply(reply)}`);
    return { ...reply, id };
  }

  send(line) {
    return new Promise((resolve) => {
      if (this.isClosed) {
        resolve({ isLost: true, lines: [] });
        return;
      }
      this.onReply = resolve;
      this.socket.write(`${line}\r\n`, 'latin1');
    });
  }

  close() {
    this.isClosed = true;
    this.socket.destroy();
    this.reply({ isLost: true });
  }

  receive(line) {
    if (this.onReply === undefined) {
      // As PROTOCOL.md says: a message that answers nothing ends the session.
      this.close();
      return;
    }
    this.lines.push(line);
    const [word, first] = splitFields(line, 3);
    if (word === 'READY') {
      this.reply({ state: first });
    }
  }

  reply(result) {
    const { onReply, lines } = this;
    this.onReply = undefined;
    this.lines = [];
    const rows = lines.filter((line) => line.startsWith('ROW')).map((line) => line.slice(4));
    const error = lines.find((line) => line.startsWith('ERROR'))?.split(' ')[1];
    const isDone = error === undefined && lines.some((line) => line.startsWith('DONE'));
    onReply?.({ ...result, lines, rows, error, isDone });
  }
}

export function describeReply({ lines, isLost }) {
  const shown = lines.map((line) =>
    line.length > 100 ? `${line.slice(0, 60)}... (${line.length} bytes)` : line,
  );
  return `${JSON.stringify(shown)}${isLost === true ? ' and the connection ends' : ''}`;
}
