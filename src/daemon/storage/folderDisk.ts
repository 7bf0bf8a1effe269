import { mkdir, open, readdir, readFile, rename, rm, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { Disk } from './disk.js';

const FILE_MODE = 0o600;

/** A folder of the file system. */
export class FolderDisk extends Disk {
  private readonly handles = new Map<string, FileHandle>();

  constructor(private readonly folder: string) {
    super();
  }

  override async list(): Promise<readonly string[]> {
    await mkdir(this.folder, { recursive: true });
    return readdir(this.folder);
  }

  override read(file: string): Promise<Uint8Array> {
    return readFile(join(this.folder, file));
  }

  override async append(file: string, bytes: Uint8Array): Promise<void> {
    const handle = await this.open(file);
    await handle.appendFile(bytes);
  }

  override async truncate(file: string, size: number): Promise<void> {
    const handle = await this.open(file);
    await handle.truncate(size);
  }

  override async sync(file: string): Promise<void> {
    const handle = await this.open(file);
    await handle.sync();
  }

  override async syncFolder(): Promise<void> {
    const handle = await open(this.folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  override async rename(from: string, to: string): Promise<void> {
    await this.release(from);
    await this.release(to);
    await rename(join(this.folder, from), join(this.folder, to));
  }

  override async remove(file: string): Promise<void> {
    await this.release(file);
    await rm(join(this.folder, file), { force: true });
  }

  override async close(): Promise<void> {
    for (const file of [...this.handles.keys()]) {
      await this.release(file);
    }
  }

  private async open(file: string): Promise<FileHandle> {
    const known = this.handles.get(file);
    if (known !== undefined) {
      return known;
    }
    const handle = await open(join(this.folder, file), 'a', FILE_MODE);
    this.handles.set(file, handle);
    return handle;
  }

  private async release(file: string): Promise<void> {
    const handle = this.handles.get(file);
    this.handles.delete(file);
    await handle?.close();
  }
}
