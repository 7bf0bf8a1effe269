import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import type { Revision } from '../../common/ids/index.js';
import type { ControlRecord } from '../../decisions/control/index.js';

/** Size from which packed records are compressed. */
const COMPRESSION_THRESHOLD_BYTES = 1024;
/**
 * Fastest level: sufficient, since a configuration repeats the field names and values of its
 * routes.
 */
const COMPRESSION_LEVEL = 1;
/** Maximum size of decompressed records. */
const MAXIMUM_RECORD_BYTES = 67_108_864;

/** First byte of packed records: the encoding of the rest. */
enum Packing {
  Plain = 0,
  Compressed = 1,
}

/**
 * Packs replicated records once for all daemons that receive them: a change of the configuration is
 * sent to every daemon of the fleet, over links that may have a low bandwidth.
 */
export class RecordPacker {
  private readonly codec = createCodec();
  private revision: Revision | undefined;
  /** Packed bytes by number of records; that many most recently changed ones, up to `revision`. */
  private readonly packed = new Map<number, Uint8Array>();

  /** Packs the most recently changed records up to a revision. */
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

/** Unpacks records of another daemon; returns a fault if the bytes do not contain records. */
export function tryUnpackRecords(
  bytes: Uint8Array,
  peer: string,
): Result<readonly ControlRecord[], Fault> {
  let content: unknown;
  try {
    content = decoder.unpack(decompress(bytes));
  } catch (cause) {
    return err(
      createInvalidRecordsFault(
        cause instanceof Error ? cause.message : 'records cannot be decoded',
        peer,
      ),
    );
  }
  return Array.isArray(content) && content.every(isRecord)
    ? ok(content)
    : err(createInvalidRecordsFault('content is not a list of records', peer));
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
      throw new Error('unknown packing');
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
