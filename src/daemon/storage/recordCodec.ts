import { Packr } from 'msgpackr';
import { createFault, Diagnostics } from '../../common/diagnostics/index.js';
import { createFrame, FrameState, readFrame } from './recordFrame.js';

const packr = new Packr({ useRecords: false });

/** Encodes one record with its frame. */
export function encodeRecord(record: object): Uint8Array {
  return createFrame(packr.pack(record));
}

/** A decoded file. */
export interface DecodedRecords {
  readonly records: readonly unknown[];
  /** Where the whole records end; before the end of the file if the last one is torn. */
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

/** Decodes a file that holds exactly one whole record; throws RecordCorrupt. */
export function decodeSingleRecord(file: string, bytes: Uint8Array): unknown {
  const { records, end } = decodeRecords(file, bytes);
  if (records.length !== 1 || end !== bytes.byteLength) {
    throw createCorruptFault(file, end, 'one whole record was expected');
  }
  return records[0];
}

/** The fault for a file whose content can't be what was written. */
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
