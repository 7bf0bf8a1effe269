export * from './placementHost.js';
export * from './loadBuckets.js';
export * from './placementPolicy.js';
export * from './leastLoadedNear.js';
export * from './boundedRendezvous.js';
export * from './placement.js';
export * from './hostLoads.js';
export * from './spareHosts.js';
