import type { Disk } from './disk.js';
import { TEMPORARY_SUFFIX } from './segmentFile.js';

/** Writes a whole file durably, so that a crash leaves the former content or the new one. */
export async function replaceFile(disk: Disk, file: string, bytes: Uint8Array): Promise<void> {
  const temporary = file + TEMPORARY_SUFFIX;
  await disk.remove(temporary);
  await disk.append(temporary, bytes);
  await disk.sync(temporary);
  await disk.rename(temporary, file);
  await disk.syncFolder();
}
