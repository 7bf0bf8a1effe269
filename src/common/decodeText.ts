import { isUtf8 } from 'node:buffer';

/** Decodes a text; undefined if the bytes are not valid UTF-8, of which a part would be replaced. */
export function tryDecodeText(bytes: Uint8Array): string | undefined {
  const { buffer, byteOffset, length } = bytes;
  // A view, as a large body is not to be copied.
  return isUtf8(bytes) ? Buffer.from(buffer, byteOffset, length).toString('utf8') : undefined;
}
