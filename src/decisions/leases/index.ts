export * from './leaseTerms.js';
export * from './renewalStart.js';
export * from './heldLease.js';
export * from './daemonLease.js';
export * from './daemonLeases.js';
