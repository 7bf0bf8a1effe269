export * from './disk.js';
export * from './folderDisk.js';
export * from './logStorage.js';
export * from './fileLogStorage.js';
