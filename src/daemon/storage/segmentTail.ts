import type { Disk } from './disk.js';

/** Appends records to the current segment, after its last complete record. */
export class SegmentTail {
  /** `isIntact`: no bytes follow the last complete record. */
  constructor(
    private readonly disk: Disk,
    private readonly file: string,
    private endBytes: number,
    private isIntact: boolean,
  ) {}

  /**
   * Appends a record durably. Rejects with DiskFull if free space is lacking, and may then be
   * called again; after any other error the end of the segment is unknown.
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

  /** Removes any bytes after the last complete record. */
  private async truncateToEnd(): Promise<void> {
    const { disk, file } = this;
    if (!this.isIntact) {
      await disk.truncate(file, this.endBytes);
      // Without this sync, a crash could leave the new record mixed with the removed bytes.
      await disk.sync(file);
    }
  }
}
