import { mkdir, open, readdir, readFile, rename, rm, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { Disk } from './disk.js';
import { DiskFull } from './diskFull.js';

const FILE_MODE = 0o600;
/** Error codes for a full file system and for an exceeded disk quota of the user. */
const DISK_FULL_CODES: readonly unknown[] = ['ENOSPC', 'EDQUOT'];
const MISSING_CODE = 'ENOENT';

/** Accesses the files of a folder in the file system. */
export class FolderDisk extends Disk {
  private readonly handles = new Map<string, FileHandle>();

  constructor(private readonly folder: string) {
    super();
  }

  override async list(): Promise<readonly string[]> {
    try {
      return await readdir(this.folder);
    } catch (cause) {
      if (getCode(cause) !== MISSING_CODE) {
        throw cause;
      }
    }
    await convertDiskFull(mkdir(this.folder, { recursive: true }));
    return [];
  }

  override read(file: string): Promise<Uint8Array> {
    return readFile(join(this.folder, file));
  }

  override async append(file: string, bytes: Uint8Array): Promise<void> {
    const handle = await convertDiskFull(this.open(file));
    await convertDiskFull(handle.appendFile(bytes));
  }

  override async truncate(file: string, size: number): Promise<void> {
    const handle = await convertDiskFull(this.open(file));
    await convertDiskFull(handle.truncate(size));
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
    await convertDiskFull(rename(join(this.folder, from), join(this.folder, to)));
  }

  override async remove(file: string): Promise<void> {
    await this.release(file);
    await convertDiskFull(rm(join(this.folder, file), { force: true }));
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

/** Converts system errors for lack of free space to `DiskFull`; passes other errors through. */
async function convertDiskFull<Value>(work: Promise<Value>): Promise<Value> {
  try {
    return await work;
  } catch (cause) {
    if (cause instanceof Error && DISK_FULL_CODES.includes(getCode(cause))) {
      throw new DiskFull(cause.message, { cause });
    }
    throw cause;
  }
}

function getCode(cause: unknown): unknown {
  return cause instanceof Error && 'code' in cause ? cause.code : undefined;
}
