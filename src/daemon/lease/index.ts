export * from './controlRoute.js';
export * from './leaseTask.js';
