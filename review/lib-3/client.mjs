// A caller of the line protocol, and calls over HTTP.
import { connect } from 'node:net';
import { request as httpRequest } from 'node:http';

const END = '\r\n';

/** A session: one statement at a time. */
export class Client {
  constructor(name) {
    this.name = name;
    this.count = 0;
    this.isClosed = false;
    this.text = '';
    this.lines = [];
  }

  /** Connects; resolves with the session, whose `refusal` is set if it was refused. */
  static async open(address, database, key, name) {
    const client = new Client(name);
    const [host, port] = address.split(':');
    client.socket = connect({ host, port: Number(port), noDelay: true });
    client.socket.setEncoding('latin1');
    client.socket.on('data', (chunk) => client.receive(chunk));
    client.socket.on('error', () => client.end());
    client.socket.on('close', () => client.end());
    const reply = await client.send(`CONNECT ${database} ${key}`, 2000);
    if (reply.error !== undefined) client.refusal = reply.error;
    return client;
  }

  /** Runs a statement; the reply has rows, proof, error and state, or `lost`. */
  async query(text, timeoutMs = 5000) {
    this.count += 1;
    const id = `${this.name}n${this.count}`;
    const reply = await this.send(`QUERY ${id} ${text}`, timeoutMs);
    return { id, ...reply };
  }

  close() {
    this.socket.destroy();
    this.end();
  }

  send(line, timeoutMs) {
    if (this.isClosed) return Promise.resolve({ error: 'CLOSED', lost: true });
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.finish({ error: 'NOANSWER', lost: true }), timeoutMs);
      this.waiting = (reply) => {
        clearTimeout(timer);
        resolve(reply);
      };
      this.socket.write(line + END, 'latin1');
    });
  }

  receive(chunk) {
    this.text += chunk;
    for (let end = this.text.indexOf(END); end >= 0; end = this.text.indexOf(END)) {
      this.line(this.text.slice(0, end));
      this.text = this.text.slice(end + END.length);
    }
  }

  line(line) {
    const [word, first = ''] = line.split(' ');
    if (word !== 'READY') {
      this.lines.push(line);
      return;
    }
    const lines = this.lines;
    this.lines = [];
    const rows = lines.filter((each) => each.startsWith('ROW ')).map((each) => each.slice(4));
    const error = lines.find((each) => each.startsWith('ERROR '))?.split(' ')[1];
    const proof = lines.find((each) => each.startsWith('DONE '))?.slice(5);
    this.finish({ rows, proof, error, state: first, position: line.split(' ')[2] });
  }

  finish(reply) {
    const { waiting } = this;
    this.waiting = undefined;
    waiting?.(reply);
  }

  end() {
    if (this.isClosed) return;
    this.isClosed = true;
    const error = this.lines.find((each) => each.startsWith('ERROR '))?.split(' ')[1];
    this.finish({ error: error ?? 'CLOSED', lost: error === undefined });
  }
}

/** Calls an HTTP interface; status 0 when no answer came. */
export function call(address, method, path, body = '', timeoutMs = 1000) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const request = httpRequest(
      {
        ...{ host, port: Number(port), method, path, agent: false, timeout: timeoutMs },
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        },
      },
      (response) => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (chunk) => (text += chunk));
        response.on('end', () => resolve({ status: response.statusCode, body: text }));
        response.on('error', () => resolve({ status: 0, body: '' }));
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve({ status: 0, body: '' }));
    request.end(body);
  });
}

export function sleep(durationMs) {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
