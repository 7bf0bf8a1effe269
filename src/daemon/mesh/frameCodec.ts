import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { MeshKind } from './meshKind.js';
import { findInvalidField } from './messageShape.js';
import type { MeshMessage } from './meshMessage.js';

const KINDS: ReadonlySet<unknown> = new Set(Object.values(MeshKind));

/**
 * Encodes and decodes the frames of one link. The field names of messages are sent only once for
 * each link and direction: frames have to be decoded in the order in which they were encoded.
 */
export class FrameCodec {
  private readonly encoder = createPackr();
  private readonly decoder = createPackr();

  /** Encodes a message as a frame. */
  encode(message: MeshMessage): Uint8Array {
    return this.encoder.pack(message);
  }

  /** Decodes a frame; returns a fault if it does not contain a valid mesh message. */
  tryDecode(frame: Uint8Array, peer: string): Result<MeshMessage, Fault> {
    let content: unknown;
    try {
      content = this.decoder.unpack(frame);
    } catch (cause) {
      return err(
        createInvalidFrameFault(
          cause instanceof Error ? cause.message : 'frame cannot be decoded',
          peer,
        ),
      );
    }
    if (!isMessage(content)) {
      return err(createInvalidFrameFault('unknown message kind', peer));
    }
    const field = findInvalidField(content.kind, content);
    return field === undefined
      ? ok(content)
      : err(createInvalidFrameFault(`field ${field} is wrong`, peer));
  }
}

function createPackr(): Packr {
  return new Packr({ sequential: true, mapsAsObjects: true, int64AsType: 'number' });
}

function isMessage(content: unknown): content is MeshMessage {
  if (typeof content !== 'object' || content === null || !('kind' in content)) {
    return false;
  }
  return Number.isInteger(content.kind) && KINDS.has(content.kind);
}

function createInvalidFrameFault(reason: string, peer: string): Fault {
  return createFault(Diagnostics.MeshFrameInvalid, { reason }, { step: 'mesh.decode', peer });
}
