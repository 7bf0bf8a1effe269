import type { Duplex } from 'node:stream';
import { ReadableStream, type ReadableStreamDefaultController } from 'node:stream/web';
import type { Fault } from '../../common/diagnostics/index.js';
import {
  findInitialFault,
  findSizeFault,
  findTypedFault,
  getStartupFrameSize,
  isEncryptionRequest,
} from './startupFrame.js';

const MAXIMUM_BUFFERED_BYTES = 65_536;

/** Provides a caller's validated start-up messages to pg-gateway, one per pull of the stream. */
export class StartupMessages {
  readonly stream: ReadableStream<Uint8Array>;
  private bytes = Buffer.alloc(0);
  private controller: ReadableStreamDefaultController<Uint8Array> | undefined;
  /** Whether the stream was pulled and has not been given a message yet. */
  private wanted = false;
  private isInitial = true;
  private typedMessageCount = 0;
  private readonly onData = (chunk: Buffer): void => this.push(chunk);
  private readonly onEnd = (): void => this.closeStream();

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
    socket.on('data', this.onData);
    socket.on('end', this.onEnd);
    socket.on('close', this.onEnd);
  }

  /** Stops reading; returns the bytes that were not delivered to pg-gateway. */
  detach(): Buffer {
    this.socket.pause();
    this.socket.off('data', this.onData);
    this.closeStream();
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
    const size = getStartupFrameSize(this.bytes, this.isInitial);
    if (!this.wanted || this.controller === undefined || size === undefined) {
      return;
    }
    const sizeFault = findSizeFault(size, this.isInitial);
    if (sizeFault !== undefined || this.bytes.length < size) {
      this.reportMalformed(sizeFault);
      return;
    }
    const frame = this.bytes.subarray(0, size);
    const fault = this.check(frame);
    if (fault !== undefined) {
      this.reportMalformed(fault);
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
    this.typedMessageCount += 1;
    return findTypedFault(frame, this.typedMessageCount === 1);
  }

  private reportMalformed(fault: Fault | undefined): void {
    if (fault !== undefined) {
      this.wanted = false;
      this.onMalformed(fault);
    }
  }

  private closeStream(): void {
    this.socket.off('end', this.onEnd);
    this.socket.off('close', this.onEnd);
    const { controller } = this;
    this.controller = undefined;
    controller?.close();
  }
}
