import { toMemberId, type MemberId } from '../../decisions/consensus/index.js';
import type { Disk } from './disk.js';
import { createCorruptFault, decodeSingleRecord, encodeRecord } from './recordCodec.js';
import { replaceFile } from './replaceFile.js';

/** The file with the member's identity; its presence means that a log was created in the folder. */
export const IDENTITY_FILE = 'identity';

/** Reads the identity; throws RecordCorrupt. */
export async function readIdentity(disk: Disk): Promise<MemberId> {
  const record = decodeSingleRecord(IDENTITY_FILE, await disk.read(IDENTITY_FILE));
  if (typeof record !== 'object' || record === null || !('identity' in record)) {
    throw createCorruptFault(IDENTITY_FILE, 0, 'expected an identity');
  }
  return toMemberId(String(record.identity));
}

/** Writes the identity durably. */
export function writeIdentity(disk: Disk, identity: MemberId): Promise<void> {
  return replaceFile(disk, IDENTITY_FILE, encodeRecord({ identity }));
}
