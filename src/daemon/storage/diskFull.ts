/**
 * The error of a write for which the disk has too little free space; a part of it may be written.
 */
export class DiskFull extends Error {}
