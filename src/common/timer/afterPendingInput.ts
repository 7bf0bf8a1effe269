/**
 * Calls the handler once everything that has arrived at this process by now was read: after a whole
 * turn of the event loop, which polls every socket.
 */
export function afterPendingInput(handler: () => void): void {
  // The first call may still belong to the turn that polled before now.
  setImmediate(() => setImmediate(handler));
}
