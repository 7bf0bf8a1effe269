export * from './change.js';
export * from './logRecord.js';
export * from './termStart.js';
export * from './instanceLog.js';
