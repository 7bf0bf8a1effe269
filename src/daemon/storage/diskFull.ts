/** What a disk rejects with when it has no room for a write; nothing but a part of it may be there. */
export class DiskFull extends Error {}
