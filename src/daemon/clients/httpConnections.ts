import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { CloseReason } from '../../decisions/callers/index.js';
import type { ConnectionLimits } from './connectionLimits.js';
import { HttpConnection } from './httpConnection.js';

/** Connections that may be open beyond the limit while those that they replace are closed. */
const REPLACED_CONNECTIONS = 50;

/** Keeps the limits on clients at one HTTP interface. */
export class HttpConnections {
  private readonly connections = new Map<Socket, HttpConnection>();
  private readonly open = new Set<unknown>();

  constructor(
    server: Server,
    private readonly limits: ConnectionLimits,
    private readonly maximumConnections: number,
  ) {
    server.maxConnections = maximumConnections + REPLACED_CONNECTIONS;
    server.on('connection', (socket) => this.accept(socket));
  }

  /** Records a request; resolves to false if it must not be answered, as its connection is closed. */
  begin(
    request: IncomingMessage,
    response: ServerResponse,
    maximumBytes: number,
  ): Promise<boolean> {
    const connection = this.connections.get(request.socket);
    if (connection === undefined || request.socket.destroyed) {
      return Promise.resolve(false);
    }
    const mayBegin = connection.begin(request, response, maximumBytes);
    if (connection.hasTooMany) {
      this.limits.close({ held: connection.charge.held, reason: CloseReason.TooManyRequests });
    }
    return mayBegin;
  }

  /** Records an answer until the client has taken it. */
  recordAnswer(response: ServerResponse, bytes: number): void {
    const { socket } = response;
    if (socket !== null && bytes > 0) {
      this.connections.get(socket)?.recordAnswer(response, bytes);
    }
  }

  private accept(socket: Socket): void {
    if (this.connections.size >= this.maximumConnections) {
      this.limits.makeRoom((each) => this.open.has(each));
    }
    const connection = new HttpConnection(socket, this.limits);
    this.connections.set(socket, connection);
    this.open.add(connection);
    socket.once('close', () => {
      this.connections.delete(socket);
      this.open.delete(connection);
      connection.close();
    });
  }
}
