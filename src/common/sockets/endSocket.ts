import type { Socket } from 'node:net';
import type { TimerService } from '../timer/index.js';

const LINGER_MS = 2000;

/**
 * Ends a connection after its final bytes. Destroys it once the peer has taken nothing for LINGER_MS
 * to twice that, or has not closed it LINGER_MS after the last bytes were sent.
 */
export function endSocket(socket: Socket, timer: TimerService, bytes?: Uint8Array): void {
  // The socket's own timeout restarts whenever the peer takes a part of a write.
  socket.setTimeout(LINGER_MS, () => socket.destroy());
  socket.once('finish', () => {
    const cancel = timer.once(LINGER_MS, () => socket.destroy());
    socket.once('close', cancel);
  });
  socket.end(bytes ?? '');
  // Received bytes are read and discarded: unread bytes would cause a reset, which may lose the
  // final bytes.
  socket.resume();
}
