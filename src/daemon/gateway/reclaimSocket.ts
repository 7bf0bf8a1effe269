import type { Duplex } from 'node:stream';

/** Events on which the library's web streams leave listeners on a socket. */
const WRAPPER_EVENTS = ['data', 'readable', 'end', 'close', 'error', 'drain', 'finish'] as const;

/** Removes the listeners of the web streams that wrap a socket, so that it can be read directly. */
export function reclaimSocket(socket: Duplex): void {
  for (const event of WRAPPER_EVENTS) {
    socket.removeAllListeners(event);
  }
  // An error before the next owner adds its listener would otherwise end the process.
  socket.on('error', () => socket.destroy());
}
