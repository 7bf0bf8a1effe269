import { randomInt } from 'node:crypto';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { Diagnostic } from '../../src/common/diagnostics/index.js';
import { Gauge } from '../instance/gauge.js';
import { Diagnostics } from '../sql/index.js';
import { ClientSession, type ClientSessionParts } from './clientSession.js';
import { readStartUp, type StartUp } from './startUp.js';

const LARGEST_SECRET = 2_147_483_647;

/** What a PostgreSQL server needs besides what its sessions share. */
export interface PostgresServerParts extends Omit<ClientSessionParts, 'tryAdmit'> {
  readonly connectionLimit: number;
  /** Whether the instance may serve clients yet. */
  readonly isServing: () => boolean;
}

/** Accepts clients within the connection limit. */
export class PostgresServer {
  readonly connections = new Gauge();
  private refused = 0;
  private nextProcessId = 1;
  private boundPort = 0;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly sessions = new Map<number, ClientSession>();

  constructor(private readonly parts: PostgresServerParts) {
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
  }

  /** How many connections were refused because of the limit. */
  get refusedCount(): number {
    return this.refused;
  }

  /** The port that the server listens on; 0 before it listens. */
  get port(): number {
    return this.boundPort;
  }

  /** Begins to listen. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.boundPort = (this.server.address() as AddressInfo).port;
        resolve();
      });
    });
  }

  /** Ends all connections and stops listening. */
  close(): Promise<void> {
    this.cutAll();
    for (const session of this.sessions.values()) {
      session.forget();
    }
    return new Promise((resolve) => {
      this.server.close(() => resolve());
    });
  }

  /** Drops all connections without a word. */
  cutAll(): void {
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  /** Makes all present connections silent for good. */
  silenceAll(): void {
    for (const session of this.sessions.values()) {
      session.silence();
    }
  }

  /** Ends all sessions after telling the clients why. */
  terminateAll(diagnostic: Diagnostic): void {
    for (const session of this.sessions.values()) {
      session.terminate(diagnostic);
    }
  }

  private accept(socket: Socket): void {
    const { faults } = this.parts;
    socket.on('error', () => socket.destroy());
    if (faults.cutOff) {
      socket.destroy();
      return;
    }
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    if (faults.silentNew) {
      socket.resume();
      return;
    }
    readStartUp(socket, (startUp) => this.begin(socket, startUp));
  }

  private begin(socket: Socket, startUp: StartUp): void {
    if (startUp.kind === 'cancel') {
      const session = this.sessions.get(startUp.processId);
      if (session?.secret === startUp.secret) {
        session.cancel();
      }
      socket.end();
      return;
    }
    const processId = this.nextProcessId;
    this.nextProcessId += 1;
    const secret = randomInt(LARGEST_SECRET);
    const parts = { ...this.parts, tryAdmit: (admitted: ClientSession) => this.tryAdmit(admitted) };
    const session = new ClientSession(socket, processId, secret, parts);
    void session.serve();
  }

  private tryAdmit(session: ClientSession): Diagnostic | undefined {
    if (!this.parts.isServing()) {
      return Diagnostics.InstanceStarting;
    }
    if (this.connections.value >= this.parts.connectionLimit) {
      this.refused += 1;
      return Diagnostics.TooManyConnections;
    }
    this.connections.increment();
    this.sessions.set(session.processId, session);
    session.onEnd(() => {
      this.connections.decrement();
      this.sessions.delete(session.processId);
    });
    return undefined;
  }
}
