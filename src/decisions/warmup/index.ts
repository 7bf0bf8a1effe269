export * from './recordedWarmup.js';
export * from './startPacer.js';
export * from './warmupLimits.js';
