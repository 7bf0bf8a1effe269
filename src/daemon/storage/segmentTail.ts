import type { Disk } from './disk.js';

/** The end of the segment that grows, up to its last whole record. */
export class SegmentTail {
  /** `isSound`: nothing stands after the last whole record. */
  constructor(
    private readonly disk: Disk,
    private readonly file: string,
    private endBytes: number,
    private isIntact: boolean,
  ) {}

  /**
   * Adds a record durably. Rejects with DiskFull when there is no room, and may then be called again;
   * after any other error the end is unknown.
   */
  async append(record: Uint8Array): Promise<void> {
    const { disk, file } = this;
    await this.truncateToEnd();
    this.isIntact = false;
    await disk.append(file, record);
    await disk.sync(file);
    this.endBytes += record.byteLength;
    this.isIntact = true;
  }

  /** Cuts off what stands after the last whole record. */
  private async truncateToEnd(): Promise<void> {
    const { disk, file } = this;
    if (!this.isIntact) {
      await disk.truncate(file, this.endBytes);
      // Until then a crash could leave the new record mixed with what was cut off.
      await disk.sync(file);
    }
  }
}
