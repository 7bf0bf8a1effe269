import type { Duplex } from 'node:stream';
import type { TimerService } from '../../common/timer/index.js';

const LINGER_MS = 2000;

/** Ends a connection after last bytes; one whose other side does not take them is destroyed. */
export function endSocket(socket: Duplex, timer: TimerService, bytes?: Uint8Array): void {
  socket.end(bytes);
  // What still comes is dropped, so that the last bytes are not lost to a reset.
  socket.resume();
  const cancel = timer.once(LINGER_MS, () => socket.destroy());
  socket.once('close', cancel);
}
