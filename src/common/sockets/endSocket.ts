import type { Socket } from 'node:net';

const LINGER_MS = 2000;

/**
 * Ends a connection after its final bytes; destroys it once the peer has taken none of them for
 * LINGER_MS, or has not closed the connection within that time after the last.
 */
export function endSocket(socket: Socket, bytes?: Uint8Array): void {
  if (bytes === undefined) {
    socket.end();
  } else {
    socket.end(bytes);
  }
  // Received bytes are read and discarded: unread bytes would cause a reset, which may lose the
  // final bytes.
  socket.resume();
  // The socket's own timeout restarts whenever the peer takes a part of a write.
  socket.setTimeout(LINGER_MS, () => socket.destroy());
}
