import type { Duplex } from 'node:stream';
import type { TimerService } from '../../common/timer/index.js';

const LINGER_MS = 2000;

/** Ends a connection after its final bytes; destroys it if it is not closed within LINGER_MS. */
export function endSocket(socket: Duplex, timer: TimerService, bytes?: Uint8Array): void {
  socket.end(bytes);
  // Received bytes are read and discarded: unread bytes would cause a reset, which may lose the
  // final bytes.
  socket.resume();
  const cancel = timer.once(LINGER_MS, () => socket.destroy());
  socket.once('close', cancel);
}
