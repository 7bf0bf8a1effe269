export * from './replicationState.js';
export * from './recordLine.js';
export * from './follower.js';
