import { createServer, type Server, type Socket } from 'node:net';
import { LINE_END, LINE_ENCODING, LineWord } from '../../platform/lines/lineWord.js';
import { splitAddress } from '../../src/common/settings/index.js';
import type { LineCommit, LineGroup } from './lineGroup.js';
import { LineServerConnection } from './lineServerConnection.js';

/** The role of an instance. */
export type LineRole = 'primary' | 'replica';

/** One instance of a group, which serves the platform's line protocol. */
export class LineInstance {
  role: LineRole = 'replica';
  term = 1;
  /** Everything received, in order; commit N is at index N - 1. */
  log: LineCommit[] = [];
  /** Commits that can be read. */
  applied = 0;
  /** Numbers of commits that were acknowledged here. */
  readonly acknowledged = new Set<number>();
  isRunning = false;
  busy = 0;
  /** Receives nothing from its primary. */
  isDeaf = false;
  sequence = 0;
  readonly born = Date.now();
  private server: Server | undefined;
  private readonly connections = new Set<LineServerConnection>();
  /** Every open socket, also of callers that were refused. */
  private readonly sockets = new Set<Socket>();

  constructor(
    readonly group: LineGroup,
    readonly id: string,
    readonly domain: string,
    readonly address: string,
  ) {}

  get connectionCount(): number {
    return this.connections.size;
  }

  /** Position of the readable log, as `TERM.NUMBER`. */
  get position(): string {
    return `${this.term}.${this.applied}`;
  }

  /** Begins to serve. */
  async start(): Promise<void> {
    const { host, port } = splitAddress(this.address);
    const server = createServer({ noDelay: true }, (socket) => this.accept(socket));
    this.server = server;
    await new Promise<void>((resolve) => server.listen(port, host, resolve));
    this.isRunning = true;
    this.group.catchUp(this);
  }

  /** Ends at once, as when its process is killed; the log stays. */
  async stop(): Promise<void> {
    this.isRunning = false;
    for (const socket of this.sockets) {
      socket.destroy();
    }
    const { server } = this;
    await new Promise<void>((resolve) => {
      if (server === undefined) {
        resolve();
      } else {
        server.close(() => resolve());
      }
    });
  }

  /** Takes over the log of the primary; false when it receives nothing now. */
  receive(primary: LineInstance): boolean {
    if (!this.isRunning || this.isDeaf) {
      return false;
    }
    this.term = primary.term;
    let common = 0;
    while (common < this.log.length && this.log[common] === primary.log[common]) {
      common += 1;
    }
    this.log = [...primary.log];
    this.applied = Math.min(this.applied, common);
    const length = this.log.length;
    this.group.timer.once(this.group.options.lagMs, () => {
      this.applied = Math.max(this.applied, Math.min(length, this.log.length));
    });
    return true;
  }

  /** Appends a commit; calls back once a replica has it. */
  commit(
    changes: LineCommit['changes'],
    statements: readonly string[],
    onAcknowledged: () => void,
  ): void {
    const commit = { term: this.term, number: this.log.length + 1, changes, statements };
    this.log.push(commit);
    this.applied = this.log.length;
    this.group.replicate(this, () => {
      if (this.role === 'primary') {
        this.acknowledged.add(commit.number);
        onAcknowledged();
      }
    });
  }

  /** The value of an item as it can be read here. */
  read(item: string): string | undefined {
    for (let index = this.applied - 1; index >= 0; index -= 1) {
      const change = this.log[index]?.changes.findLast(([name]) => name === item);
      if (change !== undefined) {
        return change[1];
      }
    }
    return undefined;
  }

  /** Loses the lead: transactions that may write end. */
  demote(): void {
    this.role = 'replica';
    for (const connection of this.connections) {
      connection.loseLead();
    }
  }

  /** Leads the next term with what it received. */
  lead(): void {
    this.role = 'primary';
    this.term += 1;
    this.applied = this.log.length;
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
    if (this.connections.size >= this.group.options.connectionLimit) {
      socket.end(`${LineWord.Error} TOOMANY ${this.id}${LINE_END}`, LINE_ENCODING);
      return;
    }
    const connection = new LineServerConnection(this, socket);
    this.connections.add(connection);
    socket.on('close', () => this.connections.delete(connection));
  }
}
