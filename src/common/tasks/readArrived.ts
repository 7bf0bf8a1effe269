/**
 * Waits until this process has read what its sockets held and accepted the connections that waited: to be
 * called before what looks idle is closed. Two turns, as the first may have begun before it was called.
 */
export async function readArrived(): Promise<void> {
  for (let turn = 0; turn < 2; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
