import type { Socket } from 'node:net';

/** Bytes that may hold the start of a request: few enough that they hold few whole requests. */
const HEAD_PIECE_BYTES = 512;

/**
 * Size of the pieces in which received bytes are given to the HTTP library. It makes objects of all
 * requests of a piece at once, each of many times its bytes, and a received chunk has up to 64 KiB.
 */
export class HttpPieces {
  /** Bytes that certainly belong to the body that is being received. */
  private bodyBytes = 0;

  /** Records a request's header with the length of its body. */
  beginBody(bytes: number): void {
    // Up to a whole piece of the body was received with the header.
    this.bodyBytes = Math.max(0, bytes - HEAD_PIECE_BYTES);
  }

  /** Returns the size of the next piece of received bytes. */
  next(receivedBytes: number): number {
    const size = Math.min(receivedBytes, Math.max(HEAD_PIECE_BYTES, this.bodyBytes));
    this.bodyBytes = Math.max(0, this.bodyBytes - size);
    return size;
  }
}

/** Has what a client sends given to the HTTP library in pieces, until the connection is closed. */
export function deliverInPieces(socket: Socket, pieces: HttpPieces): void {
  const listeners = socket.listeners('data') as ((bytes: Buffer) => void)[];
  listeners.forEach((listener) => socket.off('data', listener));
  socket.on('data', (bytes: Buffer) => {
    let start = 0;
    while (start < bytes.length && !socket.destroyed) {
      const end = start + pieces.next(bytes.length - start);
      const piece = bytes.subarray(start, end);
      listeners.forEach((listener) => {
        listener(piece);
      });
      start = end;
    }
  });
}
