import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionCharge } from './connectionCharge.js';
import type { ConnectionLimits } from './connectionLimits.js';
import { deliverInPieces, HttpPieces } from './httpPieces.js';
import type { LimitedConnection } from './limitedConnection.js';

/** Requests that a client may have sent ahead on one connection. */
const MAXIMUM_OUTSTANDING = 16;
/** Largest body that is read before memory for the whole of it is reserved. */
const UNRESERVED_BYTES = 65_536;

/** One connection at an HTTP interface, with what its requests make the process hold. */
export class HttpConnection implements LimitedConnection {
  readonly charge: ConnectionCharge;
  private outstanding = 0;
  private unsentBytes = 0;
  /** Bytes received on the connection when the body that is being received began. */
  private bodyStart: number | undefined;
  private waitingForBody: ((mayRead: boolean) => void) | undefined;
  /** Requests that wait until those before them on the connection are answered. */
  private readonly waitingForTurn: ((mayBegin: boolean) => void)[] = [];
  private readonly pieces = new HttpPieces();

  constructor(
    private readonly socket: Socket,
    limits: ConnectionLimits,
  ) {
    this.charge = limits.open(this);
    deliverInPieces(socket, this.pieces);
  }

  /** Whether the client sent more requests ahead than it may. */
  get hasTooMany(): boolean {
    return this.outstanding > MAXIMUM_OUTSTANDING;
  }

  /**
   * Records a request; resolves once the requests before it are answered and its body may be read,
   * false if the connection was closed.
   */
  async begin(
    request: IncomingMessage,
    response: ServerResponse,
    maximumBytes: number,
  ): Promise<boolean> {
    const bytes = getBodyBytes(request, maximumBytes);
    this.outstanding += 1;
    this.charge.recordIntroduced();
    response.once('close', () => this.endRequest());
    this.charge.setWaiting(this.outstanding, 0);
    if (bytes > 0) {
      this.pieces.beginBody(getNamedBytes(request));
    }
    // The first request may also be one of many: the rest of its chunk is looked at before.
    await (this.outstanding > 1 ? this.awaitTurn() : Promise.resolve());
    if (this.socket.destroyed) {
      return false;
    }
    if (bytes > 0 && !request.complete) {
      this.bodyStart = this.socket.bytesRead;
      this.charge.setReceived(1);
      // The reservation of a large body stays until its request is answered.
      request.once('end', () => this.endBody());
    }
    if (bytes <= UNRESERVED_BYTES || this.charge.reserve(bytes)) {
      return !this.socket.destroyed;
    }
    return new Promise((resolve) => {
      this.waitingForBody = resolve;
    });
  }

  /** Records an answer until the client has taken it. */
  recordAnswer(response: ServerResponse, bytes: number): void {
    this.unsentBytes += bytes;
    this.charge.setUnsent(this.unsentBytes);
    response.once('close', () => {
      this.unsentBytes -= bytes;
      this.charge.setUnsent(this.unsentBytes);
    });
  }

  /** Brings the charge up to date with the body that is being received. */
  refresh(): void {
    if (this.bodyStart !== undefined) {
      this.charge.setReceived(1 + this.socket.bytesRead - this.bodyStart);
    }
  }

  updateReading(): void {
    if (this.charge.mayRead) {
      this.resolveWaiting(true);
    }
  }

  closeFor(): void {
    this.socket.destroy();
    this.close();
  }

  /** Ends the charge of a closed connection. */
  close(): void {
    this.charge.close();
    this.resolveWaiting(false);
    this.waitingForTurn.splice(0).forEach((resolve) => {
      resolve(false);
    });
  }

  private awaitTurn(): Promise<boolean> {
    return new Promise((resolve) => this.waitingForTurn.push(resolve));
  }

  private endRequest(): void {
    this.outstanding -= 1;
    this.endBody();
    this.charge.release();
    this.charge.setWaiting(this.outstanding, 0);
    this.waitingForTurn.shift()?.(true);
  }

  private endBody(): void {
    if (this.bodyStart !== undefined) {
      this.bodyStart = undefined;
      this.charge.setReceived(0);
    }
  }

  private resolveWaiting(mayRead: boolean): void {
    const { waitingForBody } = this;
    this.waitingForBody = undefined;
    waitingForBody?.(mayRead);
  }
}

/** The size of a request's body, as far as the client names it, up to the limit. */
function getBodyBytes(request: IncomingMessage, maximumBytes: number): number {
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  return Math.min(isChunked ? maximumBytes : getNamedBytes(request), maximumBytes);
}

/** The size of a request's body that the client named; 0 where it comes in chunks. */
function getNamedBytes({ headers }: IncomingMessage): number {
  const isChunked = headers['transfer-encoding'] !== undefined;
  const named = isChunked ? 0 : Number(headers['content-length'] ?? 0);
  return Number.isFinite(named) ? named : 0;
}
