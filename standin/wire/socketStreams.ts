import { once } from 'node:events';
import type { Socket } from 'node:net';
import type { DuplexStream } from 'pg-gateway';

const QUEUED_CHUNKS = 4;

/**
 * Web streams of a socket that never fail: a lost connection is the end of the input, and output
 * to it is dropped. The chunks are copies, as pg-gateway needs them to begin their own buffers.
 */
export function createSocketStreams(socket: Socket): DuplexStream<Uint8Array> {
  return { readable: createReadable(socket), writable: createWritable(socket) };
}

function createReadable(socket: Socket): ReadableStream<Uint8Array> {
  return new ReadableStream<Uint8Array>(
    {
      start: (controller) => {
        socket.on('data', (chunk: Buffer) => {
          controller.enqueue(new Uint8Array(chunk));
          if ((controller.desiredSize ?? 0) <= 0) {
            socket.pause();
          }
        });
        socket.once('close', () => controller.close());
      },
      pull: () => {
        socket.resume();
      },
    },
    new CountQueuingStrategy({ highWaterMark: QUEUED_CHUNKS }),
  );
}

function createWritable(socket: Socket): WritableStream<Uint8Array> {
  return new WritableStream<Uint8Array>({
    write: async (chunk) => {
      if (socket.writable && !socket.write(chunk)) {
        await Promise.race([once(socket, 'drain'), once(socket, 'close')]);
      }
    },
    close: () => {
      socket.end();
    },
    abort: () => {
      socket.destroy();
    },
  });
}
