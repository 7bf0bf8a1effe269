/**
 * Waits until this process has read the data that its sockets had received and accepted the pending
 * connections. Callers await it before they close connections that appear idle. Waits for two turns
 * of the event loop, because the first may have begun before the call.
 */
export async function waitForPendingInput(): Promise<void> {
  for (let turn = 0; turn < 2; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
