import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { OutputBuffer } from './outputBuffer.js';

const LARGE_BYTES = 16_777_216;

const open: { destroy(): void }[] = [];

afterEach(() => open.splice(0).forEach((each) => each.destroy()));

async function createPair(): Promise<readonly [Socket, Socket]> {
  const server = createServer({ pauseOnConnect: true }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const [peer] = (await once(server, 'connection')) as [Socket];
  server.close();
  open.push(client, peer);
  return [client, peer];
}

describe('OutputBuffer', () => {
  it('waits until a slow reader has taken what was written', async () => {
    const [socket, peer] = await createPair();
    const output = new OutputBuffer(socket);
    output.add(Buffer.alloc(LARGE_BYTES));
    let hasDrained = false;
    const flushed = output.flush()?.then(() => (hasDrained = true));
    expect(flushed).toBeDefined();
    await new Promise((resolve) => setImmediate(resolve));
    expect(hasDrained).toBe(false);
    peer.resume();
    await flushed;
    expect(socket.writableLength).toBe(0);
  });

  it('ends the wait when the reader vanishes', async () => {
    const [socket, peer] = await createPair();
    socket.on('error', () => undefined);
    const output = new OutputBuffer(socket);
    output.add(Buffer.alloc(LARGE_BYTES));
    const flushed = output.flush();
    peer.destroy();
    await flushed;
    expect(socket.destroyed).toBe(true);
  });

  it('drops everything while it is silent', async () => {
    const [socket] = await createPair();
    const output = new OutputBuffer(socket);
    output.isSilent = true;
    output.add(Buffer.alloc(10));
    expect(output.flush()).toBeUndefined();
    expect(socket.bytesWritten).toBe(0);
  });
});
