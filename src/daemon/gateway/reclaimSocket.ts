import type { Duplex } from 'node:stream';

/** Events on which the web streams created for pg-gateway leave listeners on a socket. */
const WRAPPER_EVENTS = ['data', 'readable', 'end', 'close', 'error', 'drain', 'finish'] as const;

/** Removes the listeners of the web streams that wrap a socket, so that it can be read directly. */
export function reclaimSocket(socket: Duplex): void {
  for (const event of WRAPPER_EVENTS) {
    socket.removeAllListeners(event);
  }
  // An error before another error listener is added would otherwise end the process.
  socket.on('error', () => socket.destroy());
}
