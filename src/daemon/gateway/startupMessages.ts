import type { Duplex } from 'node:stream';
import { ReadableStream, type ReadableStreamDefaultController } from 'node:stream/web';
import type { Fault } from '../../common/diagnostics/index.js';
import {
  findInitialFault,
  findSizeFault,
  findTypedFault,
  getStartupFrameBytes,
  isEncryptionRequest,
} from './startupFrame.js';

const MAXIMUM_BUFFERED_BYTES = 65_536;

/** Hands the checked messages of a caller's start to the library, one whenever it asks. */
export class StartupMessages {
  readonly stream: ReadableStream<Uint8Array>;
  private bytes = Buffer.alloc(0);
  private controller: ReadableStreamDefaultController<Uint8Array> | undefined;
  private wanted = false;
  private isInitial = true;
  private typedCount = 0;
  private readonly take = (chunk: Buffer): void => this.push(chunk);
  private readonly close = (): void => this.finish();

  constructor(
    private readonly socket: Duplex,
    private readonly onMalformed: (fault: Fault) => void,
  ) {
    this.stream = new ReadableStream<Uint8Array>(
      {
        start: (controller) => {
          this.controller = controller;
        },
        pull: () => {
          this.wanted = true;
          this.deliver();
        },
      },
      { highWaterMark: 0 },
    );
    socket.on('data', this.take);
    socket.on('end', this.close);
    socket.on('close', this.close);
  }

  /** Stops to read; returns the bytes that were not handed over. */
  detach(): Buffer {
    this.socket.pause();
    this.socket.off('data', this.take);
    this.finish();
    return this.bytes;
  }

  private push(chunk: Buffer): void {
    this.bytes = Buffer.concat([this.bytes, chunk]);
    if (this.bytes.length > MAXIMUM_BUFFERED_BYTES) {
      this.socket.pause();
    }
    this.deliver();
  }

  private deliver(): void {
    const size = getStartupFrameBytes(this.bytes, this.isInitial);
    if (!this.wanted || this.controller === undefined || size === undefined) {
      return;
    }
    const refused = findSizeFault(size, this.isInitial);
    if (refused !== undefined || this.bytes.length < size) {
      this.refuse(refused);
      return;
    }
    const frame = this.bytes.subarray(0, size);
    const fault = this.check(frame);
    if (fault !== undefined) {
      this.refuse(fault);
      return;
    }
    this.wanted = false;
    this.bytes = this.bytes.subarray(size);
    this.controller.enqueue(Uint8Array.from(frame));
  }

  private check(frame: Buffer): Fault | undefined {
    if (this.isInitial) {
      const fault = findInitialFault(frame);
      this.isInitial = fault === undefined && isEncryptionRequest(frame);
      return fault;
    }
    this.typedCount += 1;
    return findTypedFault(frame, this.typedCount === 1);
  }

  private refuse(fault: Fault | undefined): void {
    if (fault !== undefined) {
      this.wanted = false;
      this.onMalformed(fault);
    }
  }

  private finish(): void {
    this.socket.off('end', this.close);
    this.socket.off('close', this.close);
    const { controller } = this;
    this.controller = undefined;
    controller?.close();
  }
}
