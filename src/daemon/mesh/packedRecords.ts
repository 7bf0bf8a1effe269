import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import type { Revision } from '../../common/ids/index.js';
import { RecordKind, type ControlRecord } from '../../decisions/control/index.js';
import { SubjectKind } from '../../decisions/tickets/index.js';

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
  /** Several parts, each after its length: records that were packed apart. */
  Parts = 2,
}

/** Size of the length before each part. */
const LENGTH_BYTES = 4;
/** Number of packed configurations that are kept. */
const MAXIMUM_CONFIGURATIONS = 4;
/** Maximum number of parts: a daemon has one configuration, and the other records are together. */
const MAXIMUM_PARTS = 8;

/**
 * Packs replicated records once for all daemons that receive them: a change of the configuration is
 * sent to every daemon of the fleet, over links that may have a low bandwidth.
 */
export class RecordPacker {
  private readonly codec = createCodec();
  private revision: Revision | undefined;
  /** Packed bytes by number of records; that many most recently changed ones, up to `revision`. */
  private readonly packed = new Map<number, Uint8Array>();
  private readonly configurations = new Map<string, Uint8Array>();

  /** Packs the most recently changed records up to a revision. */
  pack(records: readonly ControlRecord[], revision: Revision): Uint8Array {
    if (revision !== this.revision) {
      this.revision = revision;
      this.packed.clear();
    }
    let bytes = this.packed.get(records.length);
    if (bytes === undefined) {
      bytes = this.packAll(records);
      this.packed.set(records.length, bytes);
    }
    return bytes;
  }

  private packAll(records: readonly ControlRecord[]): Uint8Array {
    const configurations = records.filter(isConfiguration);
    if (configurations.length === 0) {
      return this.packPart(records);
    }
    const others = records.filter((record) => !isConfiguration(record));
    const parts = configurations.map((record) => this.packConfiguration(record));
    return joinParts([...parts, this.packPart(others)]);
  }

  /**
   * Packs a configuration once, however many other records change: it may be far larger than all of
   * them, and every restarted daemon is sent it.
   */
  private packConfiguration(record: ControlRecord): Uint8Array {
    const key = `${record.name} ${record.revision}`;
    let bytes = this.configurations.get(key);
    if (bytes === undefined) {
      bytes = this.packPart([record]);
      this.configurations.set(key, bytes);
      const [oldest] = this.configurations.keys();
      if (this.configurations.size > MAXIMUM_CONFIGURATIONS && oldest !== undefined) {
        this.configurations.delete(oldest);
      }
    }
    return bytes;
  }

  private packPart(records: readonly ControlRecord[]): Uint8Array {
    return compress(this.codec.pack(records));
  }
}

const decoder = createCodec();

/** Unpacks records of another daemon; returns a fault if the bytes do not contain records. */
export function tryUnpackRecords(
  bytes: Uint8Array,
  peer: string,
): Result<readonly ControlRecord[], Fault> {
  let content: readonly unknown[];
  try {
    content = splitParts(bytes).flatMap(unpackPart);
  } catch (cause) {
    return err(
      createInvalidRecordsFault(
        cause instanceof Error ? cause.message : 'records cannot be decoded',
        peer,
      ),
    );
  }
  return content.every(isRecord)
    ? ok(content)
    : err(createInvalidRecordsFault('content is not a list of records', peer));
}

function unpackPart(part: Uint8Array): readonly unknown[] {
  const content: unknown = decoder.unpack(decompress(part));
  if (!Array.isArray(content)) {
    throw new Error('content is not a list of records');
  }
  return content as unknown[];
}

function isConfiguration({ value }: ControlRecord): boolean {
  return value.kind === RecordKind.Subject && value.state.kind === SubjectKind.Configuration;
}

function joinParts(parts: readonly Uint8Array[]): Uint8Array {
  const chunks: Uint8Array[] = [Buffer.of(Packing.Parts)];
  for (const part of parts) {
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(part.byteLength);
    chunks.push(length, part);
  }
  return Buffer.concat(chunks);
}

/** Returns the parts of packed records; throws if their lengths don't fit the content. */
function splitParts(bytes: Uint8Array): readonly Uint8Array[] {
  if (bytes[0] !== Packing.Parts) {
    return [bytes];
  }
  const content = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const parts: Uint8Array[] = [];
  for (let offset = 1; offset < content.byteLength;) {
    const start = offset + LENGTH_BYTES;
    const end = start + content.readUInt32BE(offset);
    if (end > content.byteLength) {
      throw new Error('a part of the records is incomplete');
    }
    parts.push(content.subarray(start, end));
    if (parts.length > MAXIMUM_PARTS) {
      throw new Error(`more than ${MAXIMUM_PARTS} parts`);
    }
    offset = end;
  }
  return parts;
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
