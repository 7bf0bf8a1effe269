/**
 * The files of one folder. A failed operation rejects with the error of the operating system, or
 * with `DiskFull` when free space is lacking. A failed sync never rejects with `DiskFull`, because
 * it is then unknown what is stored.
 */
export abstract class Disk {
  /** Lists the names of all files. */
  abstract list(): Promise<readonly string[]>;
  /** Reads the complete content of a file. */
  abstract read(file: string): Promise<Uint8Array>;
  /** Appends bytes to a file; creates the file if it does not exist. */
  abstract append(file: string, bytes: Uint8Array): Promise<void>;
  /** Truncates a file to a size in bytes. */
  abstract truncate(file: string, size: number): Promise<void>;
  /** Makes a file's content durable. */
  abstract sync(file: string): Promise<void>;
  /** Makes the creation, renaming and removal of files durable. */
  abstract syncFolder(): Promise<void>;
  /** Renames a file; replaces an existing file of the new name. */
  abstract rename(from: string, to: string): Promise<void>;
  /** Removes a file. */
  abstract remove(file: string): Promise<void>;
  /** Closes all open files. */
  abstract close(): Promise<void>;
}
