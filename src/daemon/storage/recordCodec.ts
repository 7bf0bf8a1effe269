import { Packr } from 'msgpackr';
import { createFault, Diagnostics } from '../../common/diagnostics/index.js';
import { createFrame, FrameState, readFrame } from './recordFrame.js';

const packr = new Packr({ useRecords: false });

/** Encodes an object as one framed record. */
export function encodeRecord(record: object): Uint8Array {
  return createFrame(packr.pack(record));
}

/** The decoded records of a file. */
export interface DecodedRecords {
  readonly records: readonly unknown[];
  /** Offset after the last complete record; before the end of the file if a torn record follows. */
  readonly end: number;
}

/** Decodes all records of a file; throws RecordCorrupt with file and offset. */
export function decodeRecords(file: string, bytes: Uint8Array): DecodedRecords {
  const records: unknown[] = [];
  let offset = 0;
  while (offset < bytes.byteLength) {
    const frame = readFrame(bytes, offset);
    if (frame.state === FrameState.Torn) {
      break;
    }
    if (frame.state === FrameState.Corrupt) {
      throw createCorruptFault(file, offset, frame.reason);
    }
    records.push(unpack(file, offset, frame.payload));
    offset = frame.end;
  }
  return { records, end: offset };
}

/** Decodes a file that must hold exactly one complete record; throws RecordCorrupt. */
export function decodeSingleRecord(file: string, bytes: Uint8Array): unknown {
  const { records, end } = decodeRecords(file, bytes);
  if (records.length !== 1 || end !== bytes.byteLength) {
    throw createCorruptFault(file, end, 'expected exactly one complete record');
  }
  return records[0];
}

/** Creates the fault for a file whose content differs from what was written. */
export function createCorruptFault(file: string, offset: number, reason: string) {
  return createFault(
    Diagnostics.RecordCorrupt,
    { file, offset, reason },
    { step: 'storage.open', peer: file },
  );
}

function unpack(file: string, offset: number, payload: Uint8Array): unknown {
  try {
    return packr.unpack(payload) as unknown;
  } catch (cause) {
    throw createCorruptFault(file, offset, String(cause));
  }
}
