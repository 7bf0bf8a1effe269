export * from './disk.js';
export * from './diskFull.js';
export * from './folderDisk.js';
export * from './logStorage.js';
export * from './fileLogStorage.js';
export * from './diskFullRetrier.js';
