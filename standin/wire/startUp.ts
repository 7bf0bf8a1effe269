import type { Socket } from 'node:net';

const HEAD_BYTES = 8;
const REST_OF_CANCEL_BYTES = 8;
const CODE_OFFSET = 4;
const LONGEST_START_UP_BYTES = 10_000;
const SECRET_OFFSET = 4;
const SSL_REQUEST = 80_877_103;
const GSS_REQUEST = 80_877_104;
const CANCEL_REQUEST = 80_877_102;
const REFUSE_ENCRYPTION = 'N';

/** What a new connection turned out to be for. */
export type StartUp =
  | { readonly kind: 'session' }
  | { readonly kind: 'cancel'; readonly processId: number; readonly secret: number };

/** Looks at a socket's first packets; leaves a session's start-up message unread. */
export function readStartUp(socket: Socket, handle: (startUp: StartUp) => void): void {
  const look = (): void => {
    const head = socket.read(HEAD_BYTES) as Buffer | null;
    if (head === null) {
      return;
    }
    if (!isPlausible(head)) {
      socket.destroy();
      return;
    }
    const code = head.readInt32BE(CODE_OFFSET);
    if (code === SSL_REQUEST || code === GSS_REQUEST) {
      socket.write(REFUSE_ENCRYPTION);
      look();
      return;
    }
    socket.off('readable', look);
    if (code === CANCEL_REQUEST) {
      readCancel(socket, handle);
    } else {
      socket.unshift(head);
      handle({ kind: 'session' });
    }
  };
  socket.on('readable', look);
}

function readCancel(socket: Socket, handle: (startUp: StartUp) => void): void {
  const rest = socket.read(REST_OF_CANCEL_BYTES) as Buffer | null;
  if (rest === null) {
    socket.once('readable', () => readCancel(socket, handle));
    return;
  }
  if (rest.length < REST_OF_CANCEL_BYTES) {
    socket.destroy();
    return;
  }
  const secret = rest.readInt32BE(SECRET_OFFSET);
  handle({ kind: 'cancel', processId: rest.readInt32BE(0), secret });
}

/** Whether a first packet is whole, as it is not when the client has ended, and of a fair length. */
function isPlausible(head: Buffer): boolean {
  if (head.length < HEAD_BYTES) {
    return false;
  }
  const length = head.readInt32BE(0);
  return length >= HEAD_BYTES && length <= LONGEST_START_UP_BYTES;
}
