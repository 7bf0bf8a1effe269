import { connect, createServer, type Socket } from 'node:net';
import { splitAddress } from '../../src/common/settings/index.js';

/**
 * The least that any proxy does: each caller gets a connection to one instance, its first line is
 * replaced, and bytes go both ways. No routes, no limits, no sessions, no retries.
 * Arguments: the address to listen at, the instance's address, the line that opens a connection.
 */
const [listen = '', instance = '', opening = ''] = process.argv.slice(2);
const target = splitAddress(instance);

function relay(caller: Socket): void {
  const server = connect({ host: target.host, port: target.port, noDelay: true });
  caller.setNoDelay(true);
  let isOpened = false;
  caller.on('data', (bytes: Buffer) => {
    server.write(isOpened ? bytes : `${opening}\r\n`);
    isOpened = true;
  });
  server.on('data', (bytes: Buffer) => caller.write(bytes));
  for (const [one, other] of [
    [caller, server],
    [server, caller],
  ] as const) {
    one.on('close', () => other.destroy());
    one.on('error', () => other.destroy());
  }
}

const { host, port } = splitAddress(listen);
createServer(relay).listen(port, host);
