import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { FrontendType } from './frontendType.js';

const MAXIMUM_FRAME_BYTES = 10_240;
const INITIAL_HEADER_BYTES = 8;
const TYPED_HEADER_BYTES = 5;
const LENGTH_BYTES = 4;
const CANCEL_BYTES = 16;
const PROTOCOL_VERSION = 196_608;

/** Codes of requests that a caller may send in place of a StartupMessage. */
export const CANCEL_REQUEST_CODE = 80877102;
export const TLS_REQUEST_CODE = 80877103;
export const ENCRYPTION_REQUEST_CODE = 80877104;

/** Whether an initial message requests encryption, after which another initial message follows. */
export function isEncryptionRequest(frame: Buffer): boolean {
  const code = frame.readUInt32BE(LENGTH_BYTES);
  return code === TLS_REQUEST_CODE || code === ENCRYPTION_REQUEST_CODE;
}

/** Returns the size in bytes of the first frame; undefined while its length field is incomplete. */
export function getStartupFrameSize(bytes: Buffer, isInitial: boolean): number | undefined {
  const offset = isInitial ? 0 : 1;
  return bytes.length < offset + LENGTH_BYTES ? undefined : bytes.readUInt32BE(offset) + offset;
}

/** Returns a fault if a frame of this size is refused. */
export function findSizeFault(size: number, isInitial: boolean): Fault | undefined {
  const minimum = isInitial ? INITIAL_HEADER_BYTES : TYPED_HEADER_BYTES;
  if (size >= minimum && size <= MAXIMUM_FRAME_BYTES) {
    return undefined;
  }
  const values = { size, limit: MAXIMUM_FRAME_BYTES };
  return createFault(Diagnostics.MessageTooLarge, values, { step: 'caller.start' });
}

/** Returns a fault if a complete initial message is refused. */
export function findInitialFault(frame: Buffer): Fault | undefined {
  const code = frame.readUInt32BE(LENGTH_BYTES);
  switch (code) {
    case TLS_REQUEST_CODE:
    case ENCRYPTION_REQUEST_CODE:
      return frame.length === INITIAL_HEADER_BYTES ? undefined : createMalformedFault();
    case CANCEL_REQUEST_CODE:
      return frame.length === CANCEL_BYTES ? undefined : createMalformedFault();
    case PROTOCOL_VERSION:
      return hasValidParameters(frame) ? undefined : createMalformedFault();
    default: {
      const values = { version: `${code >>> 16}.${code & 0xffff}` };
      return createFault(Diagnostics.ProtocolUnsupported, values, { step: 'caller.start' });
    }
  }
}

/** Returns a fault if a complete typed message of the start-up is refused. */
export function findTypedFault(frame: Buffer, isFirst: boolean): Fault | undefined {
  if (frame[0] !== (FrontendType.Password as number)) {
    return createMalformedFault();
  }
  return !isFirst || isSaslInitialResponse(frame) ? undefined : createMalformedFault();
}

/** Whether the parameters are pairs of zero-terminated strings, followed by one more zero byte. */
function hasValidParameters(frame: Buffer): boolean {
  let offset = INITIAL_HEADER_BYTES;
  let isName = true;
  while (offset < frame.length) {
    const end = frame.indexOf(0, offset);
    if (end < 0) {
      return false;
    }
    if (isName && end === offset) {
      return end === frame.length - 1;
    }
    isName = !isName;
    offset = end + 1;
  }
  return false;
}

/** Whether a message is a SASLInitialResponse: name of the mechanism, length and response. */
function isSaslInitialResponse(frame: Buffer): boolean {
  const end = frame.indexOf(0, TYPED_HEADER_BYTES);
  const textStart = end + 1 + LENGTH_BYTES;
  return (
    end > 0 && textStart <= frame.length && frame.readInt32BE(end + 1) === frame.length - textStart
  );
}

function createMalformedFault(): Fault {
  return createFault(Diagnostics.MessageMalformed, {}, { step: 'caller.start' });
}
