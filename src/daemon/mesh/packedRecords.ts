import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import type { Revision } from '../../common/ids/index.js';
import type { ControlRecord } from '../../decisions/control/index.js';

/** Records of fewer bytes are sent as they are packed. */
const COMPRESSION_THRESHOLD_BYTES = 1024;
/** A whole configuration repeats the names and values of its routes: the fastest level finds them. */
const COMPRESSION_LEVEL = 1;
/** Most bytes that packed records unfold to. */
const MAXIMUM_RECORD_BYTES = 67_108_864;

/** The first byte of packed records: how the rest is to be read. */
enum Packing {
  Plain = 0,
  Compressed = 1,
}

/**
 * Packs replicated records once for all daemons that are to have them: a change of the configuration
 * goes to every daemon of the fleet, over links that may be narrow.
 */
export class RecordPacker {
  private readonly codec = createCodec();
  private revision: Revision | undefined;
  /** By number of records: those that changed last, up to the revision. */
  private readonly packed = new Map<number, Uint8Array>();

  /** Packs the last records that changed up to a revision. */
  pack(records: readonly ControlRecord[], revision: Revision): Uint8Array {
    if (revision !== this.revision) {
      this.revision = revision;
      this.packed.clear();
    }
    let bytes = this.packed.get(records.length);
    if (bytes === undefined) {
      bytes = compress(this.codec.pack(records));
      this.packed.set(records.length, bytes);
    }
    return bytes;
  }
}

const decoder = createCodec();

/** Reads packed records; fails with a Fault when the bytes are not records of another daemon. */
export function tryUnpackRecords(
  bytes: Uint8Array,
  peer: string,
): Result<readonly ControlRecord[], Fault> {
  let content: unknown;
  try {
    content = decoder.unpack(decompress(bytes));
  } catch (cause) {
    return err(
      createInvalidRecordsFault(cause instanceof Error ? cause.message : 'not decodable', peer),
    );
  }
  return Array.isArray(content) && content.every(isRecord)
    ? ok(content)
    : err(createInvalidRecordsFault('no list of records', peer));
}

function compress(packed: Uint8Array): Uint8Array {
  const isLarge = packed.length >= COMPRESSION_THRESHOLD_BYTES;
  const content = isLarge ? deflateRawSync(packed, { level: COMPRESSION_LEVEL }) : packed;
  return Buffer.concat([Buffer.of(isLarge ? Packing.Compressed : Packing.Plain), content]);
}

function decompress(bytes: Uint8Array): Uint8Array {
  const content = bytes.subarray(1);
  switch (bytes[0]) {
    case Packing.Plain:
      return content;
    case Packing.Compressed:
      return inflateRawSync(content, { maxOutputLength: MAXIMUM_RECORD_BYTES });
    default:
      throw new Error('no known packing');
  }
}

function createCodec(): Packr {
  return new Packr({ mapsAsObjects: true, int64AsType: 'number' });
}

function isRecord(content: unknown): content is ControlRecord {
  return (
    typeof content === 'object' &&
    content !== null &&
    'name' in content &&
    'revision' in content &&
    'value' in content
  );
}

function createInvalidRecordsFault(reason: string, peer: string): Fault {
  return createFault(Diagnostics.MeshFrameInvalid, { reason }, { step: 'mesh.records', peer });
}
