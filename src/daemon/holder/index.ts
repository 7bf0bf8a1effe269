export * from './statementCounter.js';
export * from './executeServer.js';
export * from './groupHolder.js';
export * from './holderContext.js';
export * from './holderLease.js';
export * from './exchangePositions.js';
export { isServedPrimary } from './replicaReader.js';
