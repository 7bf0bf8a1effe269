import { connect, type Socket } from 'node:net';
import { parse, serialize } from 'pg-protocol';

/** A message of the server: its name and what tests look at. */
export interface RawMessage {
  readonly name: string;
  readonly code?: string;
  readonly status?: string;
  readonly text?: string;
  readonly fields?: readonly (string | null)[];
  readonly dataTypeIDs?: readonly number[];
}

/** A client that sends protocol messages as tests give them. */
export class RawClient {
  readonly messages: RawMessage[] = [];
  private readonly waiting = new Set<() => void>();
  private closed = false;

  private constructor(readonly socket: Socket) {
    void parse(socket, (message) => {
      this.messages.push(message);
      this.waiting.forEach((check) => check());
    });
    socket.on('error', () => undefined);
    socket.once('close', () => {
      this.closed = true;
      this.waiting.forEach((check) => check());
    });
  }

  /** Connects and completes the start-up. */
  static async open(
    address: string,
    parameters: Record<string, string> = { user: 'u', database: 'd' },
  ): Promise<RawClient> {
    const [host = '', port = ''] = address.split(':');
    const socket = connect({ host, port: Number(port) });
    const client = new RawClient(socket);
    socket.write(serialize.startup(parameters));
    await client.take('readyForQuery');
    return client;
  }

  /** Sends messages in one piece. */
  send(...messages: Buffer[]): void {
    this.socket.write(Buffer.concat(messages));
  }

  /** Removes and returns all messages up to the next of the given name; fails if the connection closes first. */
  take(name: string): Promise<RawMessage[]> {
    return new Promise((resolve, reject) => {
      const check = (): void => {
        const index = this.messages.findIndex((message) => message.name === name);
        if (index >= 0) {
          this.waiting.delete(check);
          resolve(this.messages.splice(0, index + 1));
        } else if (this.closed) {
          this.waiting.delete(check);
          const received = this.messages.map(describe).join('; ');
          reject(new Error(`the connection closed before ${name}; received: ${received}`));
        }
      };
      this.waiting.add(check);
      check();
    });
  }

  /** Ends the connection. */
  close(): void {
    this.socket.destroy();
  }
}

function describe({ name, code, text, status }: RawMessage): string {
  return [name, code, text, status].filter((part) => part !== undefined).join(' ');
}

/** The names of messages, with the SQLSTATE of errors. */
export function summarize(messages: readonly RawMessage[]): string[] {
  return messages.map(({ name, code }) => (name === 'error' ? `error ${code ?? ''}` : name));
}
