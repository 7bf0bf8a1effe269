export * from './controlSettings.js';
export * from './controlInput.js';
export * from './controlOutput.js';
export * from './leaderContext.js';
export * from './groupPlacement.js';
export * from './needsReaders.js';
export * from './readerPlacement.js';
export * from './controlLeader.js';
