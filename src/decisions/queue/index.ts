export * from './queueItem.js';
export * from './queuedItem.js';
export * from './queueOutput.js';
export * from './queueLimits.js';
export * from './queuePolicy.js';
export * from './deficitRoundRobin.js';
export * from './instanceQueue.js';
