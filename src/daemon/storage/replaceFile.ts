import type { Disk } from './disk.js';
import { TEMPORARY_SUFFIX } from './segmentFile.js';

/**
 * Replaces a file atomically and durably: after a crash it holds either the old or the new content.
 */
export async function replaceFile(disk: Disk, file: string, bytes: Uint8Array): Promise<void> {
  const temporary = file + TEMPORARY_SUFFIX;
  await disk.remove(temporary);
  await disk.append(temporary, bytes);
  await disk.sync(temporary);
  await disk.rename(temporary, file);
  await disk.syncFolder();
}
