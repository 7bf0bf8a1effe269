export * from './usageRecorder.js';
export * from './workRecorder.js';
export * from './controlRoute.js';
export * from './leaseTask.js';
