import type { Duplex } from 'node:stream';

/** Listeners that the library's stream wrappers leave on a socket. */
const WRAPPER_EVENTS = ['data', 'readable', 'end', 'close', 'error', 'drain', 'finish'] as const;

/** Takes a socket back from the web streams that wrap it, so that its bytes can be read directly. */
export function reclaimSocket(socket: Duplex): void {
  for (const event of WRAPPER_EVENTS) {
    socket.removeAllListeners(event);
  }
  // Until the next owner listens, errors must not end the process.
  socket.on('error', () => socket.destroy());
}
