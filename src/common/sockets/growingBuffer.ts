/** Smallest buffer for received bytes. */
const MINIMUM_BYTES = 256;
/** Size from which a buffer grows by a fixed step, so that little of it is unused. */
const STEP_BYTES = 16_384;

/**
 * Received bytes in one buffer that grows with them: its memory follows its bytes, however many
 * chunks they came in, and it keeps no memory of the chunks alive.
 */
export class GrowingBuffer {
  private buffer: Buffer = Buffer.alloc(0);
  private size = 0;
  /** Memory of the buffer if it grows in place and is freed at once; undefined otherwise. */
  private memory: ArrayBuffer | undefined;

  get length(): number {
    return this.size;
  }

  /** Bytes of memory that are held. */
  get capacity(): number {
    return this.buffer.length;
  }

  /** The byte that was appended last; undefined if there is none. */
  get last(): number | undefined {
    return this.size === 0 ? undefined : this.buffer[this.size - 1];
  }

  /**
   * Makes room at once for bytes of a known number. The memory is mapped, as that of a resizable
   * buffer is: it takes room once it is written, and leaves none in the allocator when collected.
   */
  expect(bytes: number): void {
    if (bytes > this.buffer.length) {
      const memory = new ArrayBuffer(bytes, { maxByteLength: bytes });
      this.replace(Buffer.from(memory, 0, bytes));
    }
  }

  /**
   * Lets the buffer grow in place up to a size, without copies that wait for the collector, and
   * have its memory freed at once when it was read. Its bytes are then given by `read` only.
   */
  growInPlace(maximumBytes: number): void {
    if (this.memory === undefined) {
      const held = this.buffer.subarray(0, this.size);
      this.memory = new ArrayBuffer(this.size, { maxByteLength: maximumBytes });
      this.buffer = Buffer.from(this.memory, 0, this.size);
      held.copy(this.buffer);
    }
  }

  append(part: Buffer): void {
    if (this.size === 0 && this.memory === undefined && ownsMemory(part)) {
      // A copy would leave the chunk to the collector, so that both are held for a while.
      this.buffer = part;
      this.size = part.length;
      return;
    }
    const size = this.size + part.length;
    if (size > this.buffer.length) {
      this.grow(getCapacity(size));
    }
    part.copy(this.buffer, this.size);
    this.size = size;
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    const taken = this.buffer.subarray(0, this.size);
    this.clear();
    return taken;
  }

  /** Removes all bytes and gives them to a reader, which must not keep them. */
  read<Value>(reader: (bytes: Buffer) => Value): Value {
    const { memory } = this;
    try {
      return reader(this.take());
    } finally {
      memory?.resize(0);
    }
  }

  /** Removes all bytes; frees their memory at once if it grew in place. */
  discard(): void {
    this.read(() => undefined);
  }

  private clear(): void {
    this.buffer = Buffer.alloc(0);
    this.memory = undefined;
    this.size = 0;
  }

  private grow(capacity: number): void {
    const { memory } = this;
    if (memory !== undefined) {
      const bytes = Math.min(capacity, memory.maxByteLength);
      memory.resize(bytes);
      this.buffer = Buffer.from(memory, 0, bytes);
      return;
    }
    // Not from the shared pool, which a small part would keep alive as a whole.
    this.replace(Buffer.allocUnsafeSlow(capacity));
  }

  private replace(grown: Buffer): void {
    this.buffer.copy(grown, 0, 0, this.size);
    this.buffer = grown;
  }
}

function getCapacity(size: number): number {
  return size <= STEP_BYTES
    ? Math.max(MINIMUM_BYTES, 2 ** Math.ceil(Math.log2(size)))
    : Math.ceil(size / STEP_BYTES) * STEP_BYTES;
}

/** Whether a part is large and keeps little memory alive besides its bytes. */
function ownsMemory(part: Buffer): boolean {
  return part.length > STEP_BYTES && part.buffer.byteLength - part.length < STEP_BYTES;
}
