/**
 * Files of one folder. Every promise is rejected with the system's error when it fails; what is refused
 * for want of room with `DiskFull`, but never a sync: after a failed one nobody knows what is stored.
 */
export abstract class Disk {
  /** Names of all files. */
  abstract list(): Promise<readonly string[]>;
  /** The whole content of a file. */
  abstract read(file: string): Promise<Uint8Array>;
  /** Adds bytes at the end of a file, which is created when missing. */
  abstract append(file: string, bytes: Uint8Array): Promise<void>;
  /** Cuts a file to a size in bytes. */
  abstract truncate(file: string, size: number): Promise<void>;
  /** Makes a file's content durable. */
  abstract sync(file: string): Promise<void>;
  /** Makes created, renamed and removed names durable. */
  abstract syncFolder(): Promise<void>;
  /** Gives a file another name, replacing a file that has it. */
  abstract rename(from: string, to: string): Promise<void>;
  /** Removes a file. */
  abstract remove(file: string): Promise<void>;
  /** Releases what is open. */
  abstract close(): Promise<void>;
}
