import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { formatAddress } from '../../common/settings/index.js';
import { createFaultBody } from './faultBody.js';
import { HttpStatus } from './httpStatus.js';

const STATUS_BY_ERROR_CODE: ReadonlyMap<string | undefined, HttpStatus> = new Map([
  ['ERR_HTTP_REQUEST_TIMEOUT', HttpStatus.RequestTimeout],
  ['HPE_HEADER_OVERFLOW', HttpStatus.HeaderFieldsTooLarge],
]);

/** Creates the fault for a connection on which no valid HTTP request was received. */
export function createConnectionFault(cause: NodeJS.ErrnoException, socket: Socket): Fault {
  const { remoteAddress: host, remotePort: port } = socket;
  const peer =
    host === undefined || port === undefined ? {} : { peer: formatAddress({ host, port }) };
  const problem = cause.code ?? cause.message;
  return createFault(Diagnostics.RequestInvalid, { problem }, { step: 'http.parse', ...peer });
}

/** Sends an error answer on a connection without a valid request, and closes it. */
export function answerAndClose(cause: NodeJS.ErrnoException, fault: Fault, socket: Socket): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const status = STATUS_BY_ERROR_CODE.get(cause.code) ?? HttpStatus.BadRequest;
  const body = JSON.stringify(createFaultBody(fault));
  const head = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    'Connection: close',
    'Content-Type: application/json',
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`, () => socket.destroy());
}
